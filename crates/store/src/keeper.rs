//! One keeper: chain member, acceptor, proposer, perhaps the tail. Sans-IO (§5.1).
use crate::discovery::Discovery;
use crate::disk_port::DiskUsage;
use crate::entry_log::EntryLog;
use crate::feed::Change;
use crate::lease::Leases;
use crate::membership::Leaving;
use crate::messages::{PeerMessage, View};
use crate::patch::Packed;
use crate::register::{Acceptor, Proposer};
use crate::requests::{PendingPoll, PendingWrite};
use crate::snapshot::{IncomingSnapshot, OutgoingSnapshot};
pub use crate::step::{Input, Output, Record, RecoveredState};
use crate::store::Store;
use crate::terms::{NODE_LEASE, SILENT, VIEW_LEASE, outlast};
use quincehatch_core::{ChangeNo, Ms, Name, Version, hash64};
use quincehatch_runtime::rt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub struct Keeper {
    pub me: Name,
    pub(crate) now: Ms,
    pub(crate) acceptor: Acceptor,
    pub(crate) proposer: Proposer,
    pub view: View,
    pub store: Store,
    pub(crate) log: EntryLog,
    pub(crate) outgoing_snapshot: Option<OutgoingSnapshot>,
    pub(crate) incoming_snapshot: IncomingSnapshot,
    pub(crate) disk_usage: DiskUsage,
    /// The same for nodes, since this process began or took a whole store (§5.10).
    pub(crate) news: VecDeque<Change>,
    pub(crate) packed: Option<(Version, Packed)>,
    pub committed: ChangeNo,
    pub in_force: ChangeNo,
    /// A commit is on so many disks at least; a shorter chain commits nothing (§5.9).
    pub(crate) disks: usize,
    pub(crate) discovery: Option<Discovery>,
    pub(crate) known: VecDeque<(ChangeNo, Ms)>,
    pub(crate) heard: BTreeMap<Name, Ms>,
    pub(crate) seq: u64,
    /// The newest own heartbeat that a majority granted.
    pub(crate) granted_heartbeat: u64,
    pub(crate) sent: BTreeMap<u64, Ms>,
    pub(crate) grants: BTreeMap<u64, BTreeSet<Name>>,
    pub(crate) lease_until: Ms,
    pub(crate) wait_until: Ms,
    pub(crate) joined: bool,
    pub(crate) served: Version,
    /// Taken into the chain, and its forerunner has not passed it all yet: it neither serves nor leaves others out, as
    /// it may lack what was committed before it came (§5.3).
    pub(crate) catching_up: bool,
    /// Nodes dismissed so lately that a lease of theirs may be out until then (§5.6).
    pub(crate) dismissed_leases: BTreeMap<Name, Ms>,
    /// Until then there may be others: what was dismissed before this process began is not known.
    pub(crate) unknown_leases_until: Ms,
    /// What it granted as the tail of the view before, for the tail of this one.
    pub(crate) granted: Option<Leases>,
    pub(crate) leases: Option<Leases>,
    pub(crate) waiters: Vec<PendingWrite>,
    pub(crate) pollers: Vec<PendingPoll>,
    pub(crate) view_since: Ms,
    /// The view just before this one, where this keeper knew it.
    pub(crate) previous_view: Option<View>,
    /// All that was held when the view was taken, and how much the tail has acknowledged in it.
    pub(crate) held_at_view: ChangeNo,
    pub(crate) acked: ChangeNo,
    /// The next view, in which a member offers this keeper a place (§5.9).
    pub(crate) invitation: Option<View>,
    pub(crate) leaving: Option<Leaving>,
    pub(crate) proposed: Ms,
    pub(crate) fetched: Ms,
    pub(crate) half_since: Option<Ms>,
    pub(crate) next_beat: Ms,
    pub(crate) out: Vec<Output>,
}

impl Keeper {
    pub fn new(me: Name, now: Ms, f: RecoveredState) -> Self {
        // Places in a list that changes are no ranks: no two proposers may ever use one ballot.
        let mut proposer = Proposer::new(hash64(&[me.as_bytes()]));
        proposer.seen(f.acceptor.promised.n);
        // A tail that had begun to serve in this very view has outlasted the older ones and lacks nothing.
        let served = f.view.tail() == Some(&me) && f.served == f.view.version;
        Self {
            wait_until: if served { now } else { now + outlast(VIEW_LEASE) },
            joined: served || (f.view.head() == Some(&me) && !f.catching_up),
            catching_up: f.catching_up,
            served: f.served,
            dismissed_leases: BTreeMap::new(),
            granted: None,
            // An empty chain has enrolled nobody.
            unknown_leases_until: if f.store.n == 0 { now } else { now + outlast(NODE_LEASE) },
            me,
            now,
            proposer,
            acceptor: f.acceptor,
            view: f.view,
            held_at_view: f.store.n,
            store: f.store,
            log: f.log,
            outgoing_snapshot: None,
            incoming_snapshot: IncomingSnapshot::default(),
            disk_usage: DiskUsage::default(),
            news: VecDeque::new(),
            packed: None,
            committed: 0,
            in_force: 0,
            disks: 1,
            discovery: None,
            known: VecDeque::new(),
            heard: BTreeMap::new(),
            // A grant of an earlier life must answer no beat of this one, also where the wall clock was stepped back;
            // half of the range is left to count on.
            seq: rt::draw_incarnation() >> 1,
            granted_heartbeat: 0,
            sent: BTreeMap::new(),
            grants: BTreeMap::new(),
            lease_until: 0,
            leases: None,
            waiters: Vec::new(),
            pollers: Vec::new(),
            view_since: now,
            previous_view: None,
            acked: 0,
            invitation: None,
            leaving: None,
            proposed: 0,
            fetched: 0,
            half_since: None,
            next_beat: now,
            out: Vec::new(),
        }
    }

    /// The time as the caller has it. A keeper that stood still itself cannot tell who was silent meanwhile: nobody's
    /// silence counts from before then.
    pub fn advance_clock(&mut self, now: Ms) {
        let stood_still = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if stood_still >= SILENT {
            self.heard.values_mut().for_each(|heard| *heard = now);
        }
    }

    pub fn note_disk_usage(&mut self, usage: DiskUsage) {
        self.disk_usage = usage;
    }

    pub fn step(&mut self, now: Ms, i: Input) -> Vec<Output> {
        self.advance_clock(now);
        match i {
            Input::Peer { from, m } => self.peer(&from, m),
            Input::Request { token, ask } => self.ask(token, ask),
            Input::Seeds(seeds) => self.seeds(seeds),
            Input::Leave { within } => self.begin_leave(within),
            Input::Tick => self.tick(),
        }
        self.commit_and_answer();
        std::mem::take(&mut self.out)
    }

    pub fn is_tail(&self) -> bool {
        self.view.tail() == Some(&self.me)
    }
    pub fn is_head(&self) -> bool {
        self.view.head() == Some(&self.me)
    }
    /// May this keeper answer as the tail at this moment (§5.3)?
    pub fn serving(&self) -> bool {
        let leased = self.now < self.lease_until || rt::broken("no-view-lease");
        self.is_tail() && self.joined && self.now >= self.wait_until && leased
    }
    /// May it commit as well, and hand out what is committed (§5.9)?
    pub fn commits(&self) -> bool {
        self.serving() && self.view.members.len() >= self.disks
    }
    pub(crate) fn send(&mut self, to: &Name, m: PeerMessage) {
        if *to == self.me {
            let me = self.me.clone();
            self.peer(&me, m);
        } else {
            self.out.push(Output::Send(to.clone(), m));
        }
    }

    fn tick(&mut self) {
        self.discover();
        if self.now >= self.next_beat && !self.outside_view() {
            self.beat();
            if let Some(p) = self.view.neighbour(&self.me, -1).cloned() {
                self.request_next(&p);
                // Said again each time, as it may be lost or have crossed a change of view.
                let ack = self.ack();
                self.send(&p, ack);
            }
        }
        if self.leaving.is_some() {
            self.leave();
        } else {
            self.repair_view();
        }
    }
}
