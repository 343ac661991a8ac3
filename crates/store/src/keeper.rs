//! One keeper: chain member, acceptor, proposer, perhaps the tail. Sans-IO (§5.1).
use crate::compression::PackedText;
use crate::discovery::Discovery;
use crate::entry_log::EntryLog;
use crate::feed::Change;
use crate::lease::Leases;
use crate::membership::Leaving;
use crate::messages::{PeerMessage, View};
use crate::register::{Acceptor, Proposer};
use crate::requests::{PendingPoll, PendingWrite};
use crate::snapshot::{IncomingSnapshot, OutgoingSnapshot};
pub use crate::step::{Input, Output, Record, RecoveredState};
use crate::storage::disk_usage::DiskUsage;
use crate::store::Store;
use crate::terms::{NODE_LEASE, SILENT, VIEW_LEASE, with_clock_drift};
use quincehatch_core::{ChangeNumber, Millis, Name, Version, hash64};
use quincehatch_runtime::seam;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub struct Keeper {
    pub name: Name,
    pub(crate) now: Millis,
    pub(crate) acceptor: Acceptor,
    pub(crate) proposer: Proposer,
    pub view: View,
    pub store: Store,
    pub(crate) log: EntryLog,
    pub(crate) outgoing_snapshot: Option<OutgoingSnapshot>,
    pub(crate) incoming_snapshot: IncomingSnapshot,
    pub(crate) disk_usage: DiskUsage,
    /// The same for nodes, since this process began or took a whole store (§5.10).
    pub(crate) recent_changes: VecDeque<Change>,
    pub(crate) packed_configuration: Option<(Version, PackedText)>,
    pub committed: ChangeNumber,
    pub in_force: ChangeNumber,
    /// A commit is on so many disks at least; a shorter chain commits nothing (§5.9).
    pub(crate) min_replicas: usize,
    pub(crate) discovery: Option<Discovery>,
    pub(crate) commit_times: VecDeque<(ChangeNumber, Millis)>,
    pub(crate) last_heard: BTreeMap<Name, Millis>,
    pub(crate) heartbeat_sequence: u64,
    /// The newest own heartbeat that a majority granted.
    pub(crate) confirmed_heartbeat: u64,
    pub(crate) sent_heartbeats: BTreeMap<u64, Millis>,
    pub(crate) heartbeat_grants: BTreeMap<u64, BTreeSet<Name>>,
    pub(crate) view_lease_until: Millis,
    pub(crate) older_leases_until: Millis,
    pub(crate) in_sync: bool,
    pub(crate) served_version: Version,
    /// Taken into the chain, and its forerunner has not passed it all yet: it neither serves nor leaves others out, as
    /// it may lack what was committed before it came (§5.3).
    pub(crate) catching_up: bool,
    /// Nodes dismissed so lately that a lease of theirs may be out until then (§5.6).
    pub(crate) dismissed_leases: BTreeMap<Name, Millis>,
    /// Until then there may be others: what was dismissed before this process began is not known.
    pub(crate) unknown_leases_until: Millis,
    /// What it granted as the tail of the view before, for the tail of this one.
    pub(crate) previous_leases: Option<Leases>,
    pub(crate) leases: Option<Leases>,
    pub(crate) pending_writes: Vec<PendingWrite>,
    pub(crate) pending_polls: Vec<PendingPoll>,
    pub(crate) view_adopted_at: Millis,
    /// The view just before this one, where this keeper knew it.
    pub(crate) previous_view: Option<View>,
    /// All that was held when the view was taken, and how much the tail has acknowledged in it.
    pub(crate) number_at_view: ChangeNumber,
    pub(crate) acknowledged: ChangeNumber,
    /// The next view, in which a member offers this keeper a place (§5.9).
    pub(crate) invitation: Option<View>,
    pub(crate) leaving: Option<Leaving>,
    pub(crate) last_proposal_at: Millis,
    pub(crate) last_fetch_at: Millis,
    pub(crate) unfinished_view_since: Option<Millis>,
    pub(crate) next_heartbeat_at: Millis,
    pub(crate) outputs: Vec<Output>,
}

impl Keeper {
    pub fn new(me: Name, now: Millis, f: RecoveredState) -> Self {
        // Places in a list that changes are no ranks: no two proposers may ever use one ballot.
        let mut proposer = Proposer::new(hash64(&[me.as_bytes()]));
        proposer.observe_ballot(f.acceptor.promised.number);
        // A tail that had begun to serve in this very view has outlasted the older ones and lacks nothing.
        let served = f.view.tail() == Some(&me) && f.served_version == f.view.version;
        Self {
            older_leases_until: if served { now } else { now + with_clock_drift(VIEW_LEASE) },
            in_sync: served || (f.view.head() == Some(&me) && !f.catching_up),
            catching_up: f.catching_up,
            served_version: f.served_version,
            dismissed_leases: BTreeMap::new(),
            previous_leases: None,
            // An empty chain has enrolled nobody.
            unknown_leases_until: if f.store.last_change == 0 {
                now
            } else {
                now + with_clock_drift(NODE_LEASE)
            },
            name: me,
            now,
            proposer,
            acceptor: f.acceptor,
            view: f.view,
            number_at_view: f.store.last_change,
            store: f.store,
            log: f.log,
            outgoing_snapshot: None,
            incoming_snapshot: IncomingSnapshot::default(),
            disk_usage: DiskUsage::default(),
            recent_changes: VecDeque::new(),
            packed_configuration: None,
            committed: 0,
            in_force: 0,
            min_replicas: 1,
            discovery: None,
            commit_times: VecDeque::new(),
            last_heard: BTreeMap::new(),
            // A grant of an earlier life must answer no beat of this one, also where the wall clock was stepped back;
            // half of the range is left to count on.
            heartbeat_sequence: seam::draw_incarnation() >> 1,
            confirmed_heartbeat: 0,
            sent_heartbeats: BTreeMap::new(),
            heartbeat_grants: BTreeMap::new(),
            view_lease_until: 0,
            leases: None,
            pending_writes: Vec::new(),
            pending_polls: Vec::new(),
            view_adopted_at: now,
            previous_view: None,
            acknowledged: 0,
            invitation: None,
            leaving: None,
            last_proposal_at: 0,
            last_fetch_at: 0,
            unfinished_view_since: None,
            next_heartbeat_at: now,
            outputs: Vec::new(),
        }
    }

    /// The time as the caller has it. A keeper that stood still itself cannot tell who was silent meanwhile: nobody's
    /// silence counts from before then.
    pub fn advance_clock(&mut self, now: Millis) {
        let stood_still = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if stood_still >= SILENT {
            self.last_heard.values_mut().for_each(|heard| *heard = now);
        }
    }

    pub fn set_disk_usage(&mut self, usage: DiskUsage) {
        self.disk_usage = usage;
    }

    pub fn step(&mut self, now: Millis, i: Input) -> Vec<Output> {
        self.advance_clock(now);
        match i {
            Input::Peer { from, message } => self.handle_peer_message(&from, message),
            Input::Request { token, request } => self.ask(token, request),
            Input::Seeds(seeds) => self.seeds(seeds),
            Input::Leave { within } => self.begin_leave(within),
            Input::Tick => self.tick(),
        }
        self.commit_and_answer();
        std::mem::take(&mut self.outputs)
    }

    pub fn is_tail(&self) -> bool {
        self.view.tail() == Some(&self.name)
    }
    pub fn is_head(&self) -> bool {
        self.view.head() == Some(&self.name)
    }
    /// May this keeper answer as the tail at this moment (§5.3)?
    pub fn is_serving(&self) -> bool {
        let leased = self.now < self.view_lease_until || seam::injected_bug("no-view-lease");
        self.is_tail() && self.in_sync && self.now >= self.older_leases_until && leased
    }
    /// May it commit as well, and hand out what is committed (§5.9)?
    pub fn can_commit(&self) -> bool {
        self.is_serving() && self.view.members.len() >= self.min_replicas
    }
    pub(crate) fn send(&mut self, to: &Name, m: PeerMessage) {
        if *to == self.name {
            let me = self.name.clone();
            self.handle_peer_message(&me, m);
        } else {
            self.outputs.push(Output::Send(to.clone(), m));
        }
    }

    fn tick(&mut self) {
        self.look_for_place();
        if self.now >= self.next_heartbeat_at && !self.is_outside_view() {
            self.send_heartbeat();
            if let Some(p) = self.view.neighbour(&self.name, -1).cloned() {
                self.request_missing_entries(&p);
                // Said again each time, as it may be lost or have crossed a change of view.
                let ack = self.acknowledgement();
                self.send(&p, ack);
            }
        }
        if self.leaving.is_some() {
            self.continue_leave();
        } else {
            self.repair_view();
        }
    }
}
