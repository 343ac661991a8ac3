//! What the duties of this node keep beside the blackboard: wishes, suspicions, answers, words for operators (§5.5).
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::{now, seam};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// How long another node's suspicion is looked into.
const SUSPECT: Millis = 1_200;

/// What an operator asked for and how it went: group to the wanted server.
#[derive(Default)]
pub struct PromotionState {
    pub handover_requests: Mutex<BTreeMap<Name, Option<Name>>>,
    /// Leads that other nodes said stall: since when, and when it was last said.
    pub suspicions: Mutex<BTreeMap<Name, (Name, Millis, Millis)>>,
    /// Questions to servers met over held links, and what they said.
    pub server_queries: crate::server_queries::Asking,
    pub settled: crate::acknowledged::All,
    /// The newest fence that this process took for each group.
    own_fences: Mutex<BTreeMap<Name, FencingToken>>,
    pub incarnation: Incarnation,
    /// The last promotions, newest last, for `quincehatchctl explain`.
    pub events: Mutex<Vec<String>>,
}

/// Tells this process from those before it under the same name.
pub struct Incarnation(pub u64);

impl Default for Incarnation {
    fn default() -> Self {
        Incarnation(seam::incarnation())
    }
}

impl PromotionState {
    /// Another node says that the group's lead stalls.
    pub fn record_suspicion(&self, group: Name, server: Name) {
        let mut all = self.suspicions.lock().unwrap();
        let going =
            all.get(&group).filter(|(s, _, last)| *s == server && now() < last + SUSPECT).map(|x| x.1);
        all.insert(group, (server, going.unwrap_or_else(now), now()));
    }
    /// What was settled is of use only under the same lead, and while this node looks after it all the time.
    pub fn keep_settled(&self, group: &Name, lead: Option<&PrimaryAssignment>) {
        let of =
            |s: &crate::acknowledged::Settled| lead.is_some_and(|l| l.server.is_none() || l.fence == s.lead);
        self.settled.lock().unwrap().retain(|g, s| g != group || of(s));
    }
    pub fn note_own_fence(&self, group: &Name, fence: FencingToken) {
        self.own_fences.lock().unwrap().insert(group.clone(), fence);
    }
    /// 0 before the first.
    pub fn own_fence(&self, group: &Name) -> FencingToken {
        self.own_fences.lock().unwrap().get(group).copied().unwrap_or_default()
    }
    /// For how long has it been told?
    pub fn suspected_for(&self, group: &Name, server: &Name) -> Option<Millis> {
        let all = self.suspicions.lock().unwrap();
        let live = all.get(group).filter(|(s, _, last)| s == server && now() < last + SUSPECT);
        live.map(|(_, first, _)| now() - first)
    }
    pub fn record_event(&self, s: String) {
        log::info!(target: "promote", "{s}");
        let mut t = self.events.lock().unwrap();
        t.push(s);
        if t.len() > 256 {
            t.remove(0);
        }
    }
}
