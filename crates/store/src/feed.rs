//! What the tail tells nodes: of each entry that alone which they act on, and blueprints as what changed of the one
//! before (§5.10).
use crate::keeper::Keeper;
use crate::messages::{Answer, Command, Entry, PrimaryState, Reply};
use crate::patch::{Packed, Patch};
use crate::store::{Store, duty_of, stand};
use crate::terms::{LOG_MAX_ENTRIES, FEED_MAX_BYTES};
use quincehatch_core::{ChangeNo, Fence, Lead, Ms, Name, ServerRecord, Version, messages};
use std::collections::{BTreeMap, VecDeque};

messages! {
    /// What one entry altered for nodes.
    #[derive(Eq)]
    pub enum FeedEvent {
        /// Nothing that they act on.
        Other,
        Blueprint { version: Version, patch: Patch },
        RegisterServer { at: ServerRecord },
        DeregisterServer { server: Name },
        Lead { group: Name, lead: Lead },
        Fence { duty: Name, fence: Fence },
        /// A node is enrolled by that entry, or dismissed.
        Node { node: Name, enrolled: Option<ChangeNo> }
    }

    #[derive(Eq)]
    pub struct Change { pub n: ChangeNo, pub news: FeedEvent }

    /// All that nodes act on, as of change `n`.
    #[derive(Eq, Default)]
    pub struct FeedSnapshot {
        pub n: ChangeNo, pub version: Version, pub text: Packed,
        pub leads: BTreeMap<Name, Lead>, pub servers: BTreeMap<Name, ServerRecord>,
        pub nodes: BTreeMap<Name, ChangeNo>, pub fences: BTreeMap<Name, Fence>
    }
}

/// What a node knows of the chain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedState {
    pub n: ChangeNo,
    pub version: Version,
    /// The blueprint in force; empty before the first.
    pub text: String,
    pub leads: BTreeMap<Name, Lead>,
    pub servers: BTreeMap<Name, ServerRecord>,
    pub nodes: BTreeMap<Name, ChangeNo>,
    /// The newest of each duty.
    pub fences: BTreeMap<Name, Fence>,
}

impl FeedState {
    /// Nothing if the text came hurt.
    pub fn of(t: FeedSnapshot) -> Option<FeedState> {
        let text = t.text.text()?;
        Some(FeedState {
            n: t.n,
            version: t.version,
            text,
            leads: t.leads,
            servers: t.servers,
            nodes: t.nodes,
            fences: t.fences,
        })
    }
    /// Takes the change if it is the next.
    pub fn apply(&mut self, c: &Change) -> bool {
        if c.n != self.n + 1 {
            return false;
        }
        match &c.news {
            FeedEvent::Other => {}
            FeedEvent::Blueprint { version, patch } => {
                let Some(text) = patch.on(&self.text).filter(|_| *version == self.version + 1) else {
                    return false;
                };
                (self.version, self.text) = (*version, text);
            }
            FeedEvent::RegisterServer { at } => stand(&mut self.servers, at),
            FeedEvent::DeregisterServer { server } => drop(self.servers.remove(server)),
            FeedEvent::Fence { duty, fence } => drop(self.fences.insert(duty.clone(), *fence)),
            FeedEvent::Node { node, enrolled: Some(n) } => drop(self.nodes.insert(node.clone(), *n)),
            FeedEvent::Node { node, enrolled: None } => drop(self.nodes.remove(node)),
            FeedEvent::Lead { group, lead } => drop(self.leads.insert(group.clone(), lead.clone())),
        }
        self.n = c.n;
        true
    }
}

impl Change {
    /// Bytes that a change of a blueprint takes; others are small and bounded by their number.
    fn size(&self) -> usize {
        match &self.news {
            FeedEvent::Blueprint { patch, .. } => patch.size(),
            _ => 0,
        }
    }
}

impl FeedState {
    pub fn fence(&self, duty: &str) -> Fence {
        self.fences.get(duty).copied().unwrap_or_default()
    }
    pub fn leadership(&self, group: &Name) -> PrimaryState {
        PrimaryState { fence: self.fence(&duty_of(group)), primary: self.leads.get(group).cloned() }
    }
}

impl FeedSnapshot {
    pub fn of(s: &Store, text: Packed) -> FeedSnapshot {
        let (leads, servers, nodes) = (s.leads.clone(), s.servers.clone(), s.nodes.clone());
        let fences = s.fences.iter().map(|(d, f)| (d.clone(), f.0)).collect();
        FeedSnapshot { n: s.n, version: s.version(), text, leads, servers, nodes, fences }
    }
}

fn text(s: &Store) -> &str {
    s.blueprint().map_or("", |k| k.text.as_str())
}

impl Store {
    /// Takes the entry if it is the next: its answer, and what it altered for nodes.
    pub fn apply_told(&mut self, e: &Entry) -> Option<(Answer, FeedEvent)> {
        let version = self.version();
        let old = match &e.command {
            Command::PushConfiguration { .. } | Command::AdoptDocument { .. } => text(self).to_owned(),
            _ => String::new(),
        };
        let a = self.apply(e)?;
        let news = match &e.command {
            _ if matches!(a, Answer::Rejected(_)) => FeedEvent::Other,
            Command::PushConfiguration { .. } | Command::AdoptDocument { .. } if self.version() > version => {
                FeedEvent::Blueprint { version: self.version(), patch: Patch::of(&old, text(self)) }
            }
            Command::RegisterServer { at } if self.servers.get(&at.server) == Some(at) => {
                FeedEvent::RegisterServer { at: at.clone() }
            }
            Command::DeregisterServer { server } => FeedEvent::DeregisterServer { server: server.clone() },
            // As it stands by then: the chain itself adds to a lead's lists, or lets them go (§5.5).
            Command::AssignPrimary { group, .. } | Command::DropPreviousVoters { group, .. } => {
                let news = |lead: &Lead| FeedEvent::Lead { group: group.clone(), lead: lead.clone() };
                self.leads.get(group).map_or(FeedEvent::Other, news)
            }
            Command::EnrollNode { node, .. } | Command::DismissNode { node, .. } => {
                FeedEvent::Node { node: node.clone(), enrolled: self.nodes.get(node).copied() }
            }
            Command::AcquireFence { duty, .. } => {
                FeedEvent::Fence { duty: duty.clone(), fence: self.fence(duty) }
            }
            Command::AcquireFenceIfUnchanged { group, .. } => {
                let duty = duty_of(group);
                FeedEvent::Fence { fence: self.fence(&duty), duty }
            }
            _ => FeedEvent::Other,
        };
        Some((a, news))
    }
}

impl Keeper {
    pub(crate) fn record_change(&mut self, n: ChangeNo, news: FeedEvent) {
        self.recent_changes.push_back(Change { n, news });
        let size = |changes: &VecDeque<Change>| changes.iter().map(Change::size).sum::<usize>();
        while self.recent_changes.len() > LOG_MAX_ENTRIES || (self.recent_changes.len() > 1 && size(&self.recent_changes) > FEED_MAX_BYTES) {
            self.recent_changes.pop_front();
        }
    }
    /// What came after `have`, or all of it where the news do not reach back.
    pub(crate) fn changes_since(&mut self, have: ChangeNo, lease_ms: Ms) -> Reply {
        let reach = self.recent_changes.front().is_some_and(|c| c.n <= have + 1) && have <= self.store.n;
        if have == self.store.n || reach {
            let changes = self.recent_changes.iter().filter(|c| c.n > have).cloned().collect();
            return Reply::Changes { changes, lease_ms };
        }
        let version = self.store.version();
        // Packed once a version, however many ask for it.
        if self.packed_configuration.as_ref().is_none_or(|p| p.0 != version) {
            self.packed_configuration = Some((version, Packed::of(text(&self.store))));
        }
        let packed = self.packed_configuration.as_ref().map(|p| p.1.clone()).unwrap_or_default();
        Reply::Snapshot { snapshot: Box::new(FeedSnapshot::of(&self.store, packed)), lease_ms }
    }
}
