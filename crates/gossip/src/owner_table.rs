//! The owners of many keys, kept up to date as nodes come and go.
use quincehatch_core::{Name, rendezvous_weight};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The owner of each key among the live nodes, by rendezvous hashing.
///
/// A node that comes is weighed once against each key's owner, and a node that goes has its own keys given out anew. To
/// rank all nodes for all keys at each look took most of a node's processor time where there are hundreds of both.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    live: BTreeSet<Name>,
    owners: BTreeMap<Name, Owner>,
}

/// Ordered as rendezvous hashing orders the nodes: by weight, then the first by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Owner {
    weight: u64,
    name: Reverse<Name>,
}

impl Owner {
    fn weigh(key: &str, node: &Name) -> Owner {
        Owner { weight: rendezvous_weight(key, node), name: Reverse(node.clone()) }
    }
}

impl OwnerTable {
    /// Takes the names of the nodes that are live now.
    pub fn set_live(&mut self, names: impl IntoIterator<Item = Name>) {
        let live: BTreeSet<Name> = names.into_iter().collect();
        if live == self.live {
            return;
        }
        self.owners.retain(|_, owner| live.contains(&owner.name.0));
        for newcomer in live.difference(&self.live) {
            for (key, owner) in &mut self.owners {
                let weighed = Owner::weigh(key, newcomer);
                if weighed > *owner {
                    *owner = weighed;
                }
            }
        }
        self.live = live;
    }

    /// Which of the live nodes owns the key.
    pub fn owner(&mut self, key: &Name) -> Option<&Name> {
        if !self.owners.contains_key(key) {
            let owner = self.live.iter().map(|node| Owner::weigh(key, node)).max()?;
            self.owners.insert(key.clone(), owner);
        }
        self.owners.get(key).map(|owner| &owner.name.0)
    }
}
