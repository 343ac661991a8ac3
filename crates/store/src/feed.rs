//! What the tail tells nodes: of each entry that alone which they act on, and blueprints as what changed of the one
//! before (§5.10).
use crate::keeper::Keeper;
use crate::messages::{Answer, Command, Entry, PrimaryState, Reply};
use crate::patch::{PackedText, Patch};
use crate::store::{Store, promotion_duty_key, upsert_server};
use crate::terms::{FEED_MAX_BYTES, LOG_MAX_ENTRIES};
use quincehatch_core::{
    ChangeNumber, FencingToken, Millis, Name, PrimaryAssignment, ServerRecord, Version, messages,
};
use std::collections::{BTreeMap, VecDeque};

messages! {
    /// What one entry altered for nodes.
    #[derive(Eq)]
    pub enum FeedEvent {
        /// Nothing that they act on.
        Other,
        Configuration { version: Version, patch: Patch },
        RegisterServer { at: ServerRecord },
        DeregisterServer { server: Name },
        PrimaryAssigned { group: Name, lead: PrimaryAssignment },
        FenceAdvanced { duty: Name, fence: FencingToken },
        /// A node is enrolled by that entry, or dismissed.
        NodeEnrollment { node: Name, enrolled: Option<ChangeNumber> }
    }

    #[derive(Eq)]
    pub struct Change { pub number: ChangeNumber, pub event: FeedEvent }

    /// All that nodes act on, as of change `n`.
    #[derive(Eq, Default)]
    pub struct FeedSnapshot {
        pub last_change: ChangeNumber, pub configuration_version: Version, pub configuration_json: PackedText,
        pub primaries: BTreeMap<Name, PrimaryAssignment>, pub servers: BTreeMap<Name, ServerRecord>,
        pub nodes: BTreeMap<Name, ChangeNumber>, pub fences: BTreeMap<Name, FencingToken>
    }
}

/// What a node knows of the chain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedState {
    pub last_change: ChangeNumber,
    pub configuration_version: Version,
    /// The blueprint in force; empty before the first.
    pub configuration_json: String,
    pub primaries: BTreeMap<Name, PrimaryAssignment>,
    pub servers: BTreeMap<Name, ServerRecord>,
    pub nodes: BTreeMap<Name, ChangeNumber>,
    /// The newest of each duty.
    pub fences: BTreeMap<Name, FencingToken>,
}

impl FeedState {
    /// Nothing if the text came hurt.
    pub fn from_snapshot(t: FeedSnapshot) -> Option<FeedState> {
        let text = t.configuration_json.unpack()?;
        Some(FeedState {
            last_change: t.last_change,
            configuration_version: t.configuration_version,
            configuration_json: text,
            primaries: t.primaries,
            servers: t.servers,
            nodes: t.nodes,
            fences: t.fences,
        })
    }
    /// Takes the change if it is the next.
    pub fn apply(&mut self, c: &Change) -> bool {
        if c.number != self.last_change + 1 {
            return false;
        }
        match &c.event {
            FeedEvent::Other => {}
            FeedEvent::Configuration { version, patch } => {
                let Some(text) = patch
                    .apply(&self.configuration_json)
                    .filter(|_| *version == self.configuration_version + 1)
                else {
                    return false;
                };
                (self.configuration_version, self.configuration_json) = (*version, text);
            }
            FeedEvent::RegisterServer { at } => upsert_server(&mut self.servers, at),
            FeedEvent::DeregisterServer { server } => drop(self.servers.remove(server)),
            FeedEvent::FenceAdvanced { duty, fence } => drop(self.fences.insert(duty.clone(), *fence)),
            FeedEvent::NodeEnrollment { node, enrolled: Some(n) } => {
                drop(self.nodes.insert(node.clone(), *n))
            }
            FeedEvent::NodeEnrollment { node, enrolled: None } => drop(self.nodes.remove(node)),
            FeedEvent::PrimaryAssigned { group, lead } => {
                drop(self.primaries.insert(group.clone(), lead.clone()))
            }
        }
        self.last_change = c.number;
        true
    }
}

impl Change {
    /// Bytes that a change of a blueprint takes; others are small and bounded by their number.
    fn size(&self) -> usize {
        match &self.event {
            FeedEvent::Configuration { patch, .. } => patch.size(),
            _ => 0,
        }
    }
}

impl FeedState {
    pub fn fence(&self, duty: &str) -> FencingToken {
        self.fences.get(duty).copied().unwrap_or_default()
    }
    pub fn primary_state(&self, group: &Name) -> PrimaryState {
        PrimaryState {
            fence: self.fence(&promotion_duty_key(group)),
            primary: self.primaries.get(group).cloned(),
        }
    }
}

impl FeedSnapshot {
    pub fn from_store(s: &Store, text: PackedText) -> FeedSnapshot {
        let (leads, servers, nodes) = (s.primaries.clone(), s.servers.clone(), s.nodes.clone());
        let fences = s.fences.iter().map(|(d, f)| (d.clone(), f.0)).collect();
        FeedSnapshot {
            last_change: s.last_change,
            configuration_version: s.configuration_version(),
            configuration_json: text,
            primaries: leads,
            servers,
            nodes,
            fences,
        }
    }
}

fn text(s: &Store) -> &str {
    s.configuration().map_or("", |k| k.text.as_str())
}

impl Store {
    /// Takes the entry if it is the next: its answer, and what it altered for nodes.
    pub fn apply_with_event(&mut self, e: &Entry) -> Option<(Answer, FeedEvent)> {
        let version = self.configuration_version();
        let old = match &e.command {
            Command::PushConfiguration { .. } | Command::AdoptDocument { .. } => text(self).to_owned(),
            _ => String::new(),
        };
        let a = self.apply(e)?;
        let news = match &e.command {
            _ if matches!(a, Answer::Rejected(_)) => FeedEvent::Other,
            Command::PushConfiguration { .. } | Command::AdoptDocument { .. }
                if self.configuration_version() > version =>
            {
                FeedEvent::Configuration {
                    version: self.configuration_version(),
                    patch: Patch::between(&old, text(self)),
                }
            }
            Command::RegisterServer { at } if self.servers.get(&at.server) == Some(at) => {
                FeedEvent::RegisterServer { at: at.clone() }
            }
            Command::DeregisterServer { server } => FeedEvent::DeregisterServer { server: server.clone() },
            // As it stands by then: the chain itself adds to a lead's lists, or lets them go (§5.5).
            Command::AssignPrimary { group, .. } | Command::DropPreviousVoters { group, .. } => {
                let news = |lead: &PrimaryAssignment| FeedEvent::PrimaryAssigned {
                    group: group.clone(),
                    lead: lead.clone(),
                };
                self.primaries.get(group).map_or(FeedEvent::Other, news)
            }
            Command::EnrollNode { node, .. } | Command::DismissNode { node, .. } => {
                FeedEvent::NodeEnrollment { node: node.clone(), enrolled: self.nodes.get(node).copied() }
            }
            Command::AcquireFence { duty, .. } => {
                FeedEvent::FenceAdvanced { duty: duty.clone(), fence: self.fence(duty) }
            }
            Command::AcquireFenceIfUnchanged { group, .. } => {
                let duty = promotion_duty_key(group);
                FeedEvent::FenceAdvanced { fence: self.fence(&duty), duty }
            }
            _ => FeedEvent::Other,
        };
        Some((a, news))
    }
}

impl Keeper {
    pub(crate) fn record_change(&mut self, n: ChangeNumber, news: FeedEvent) {
        self.recent_changes.push_back(Change { number: n, event: news });
        let size = |changes: &VecDeque<Change>| changes.iter().map(Change::size).sum::<usize>();
        while self.recent_changes.len() > LOG_MAX_ENTRIES
            || (self.recent_changes.len() > 1 && size(&self.recent_changes) > FEED_MAX_BYTES)
        {
            self.recent_changes.pop_front();
        }
    }
    /// What came after `have`, or all of it where the news do not reach back.
    pub(crate) fn changes_since(&mut self, have: ChangeNumber, lease_ms: Millis) -> Reply {
        let reach = self.recent_changes.front().is_some_and(|c| c.number <= have + 1)
            && have <= self.store.last_change;
        if have == self.store.last_change || reach {
            let changes = self.recent_changes.iter().filter(|c| c.number > have).cloned().collect();
            return Reply::Changes { changes, lease_ms };
        }
        let version = self.store.configuration_version();
        // Packed once a version, however many ask for it.
        if self.packed_configuration.as_ref().is_none_or(|p| p.0 != version) {
            self.packed_configuration = Some((version, PackedText::pack(text(&self.store))));
        }
        let packed = self.packed_configuration.as_ref().map(|p| p.1.clone()).unwrap_or_default();
        Reply::Snapshot { snapshot: Box::new(FeedSnapshot::from_store(&self.store, packed)), lease_ms }
    }
}
