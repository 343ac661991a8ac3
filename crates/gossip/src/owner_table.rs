//! The owners of many keys, updated as nodes join and leave.
use quincehatch_core::{Name, rendezvous_weight};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The owner of each key among the live nodes, by rendezvous hashing.
///
/// A node that joins is compared once with each key's owner, and the keys of a node that leaves are assigned again.
/// Ranking all nodes for all keys at each query took most of a node's processor time with hundreds of both.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    live: BTreeSet<Name>,
    owners: BTreeMap<Name, Owner>,
}

/// A candidate for the owner of a key. Candidates are ordered as in rendezvous hashing: by weight, and for equal
/// weights the first by name is the greatest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Owner {
    weight: u64,
    name: Reverse<Name>,
}

impl Owner {
    fn new(key: &str, node: &Name) -> Owner {
        Owner { weight: rendezvous_weight(key, node), name: Reverse(node.clone()) }
    }
}

impl OwnerTable {
    /// Replaces the set of live nodes.
    pub fn set_live(&mut self, names: impl IntoIterator<Item = Name>) {
        let live: BTreeSet<Name> = names.into_iter().collect();
        if live == self.live {
            return;
        }
        self.owners.retain(|_, owner| live.contains(&owner.name.0));
        for joined in live.difference(&self.live) {
            for (key, owner) in &mut self.owners {
                let candidate = Owner::new(key, joined);
                if candidate > *owner {
                    *owner = candidate;
                }
            }
        }
        self.live = live;
    }

    /// Returns the live node that owns the key, or `None` if no node is live.
    pub fn owner(&mut self, key: &Name) -> Option<&Name> {
        if !self.owners.contains_key(key) {
            let owner = self.live.iter().map(|node| Owner::new(key, node)).max()?;
            self.owners.insert(key.clone(), owner);
        }
        self.owners.get(key).map(|owner| &owner.name.0)
    }
}
