//! Keepers in a small loop of virtual time, each reached at its address (§5.1).
#![allow(dead_code)]
pub mod fleet;

use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_store::keeper::{Input, Output, Record, RecoveredState};
use quincehatch_store::{
    Answer, Command, DiscoverySettings, Keeper, KeeperRequest, PeerMessage, Reply, Request, View, Voter,
    terms,
};
use std::collections::{BTreeMap, VecDeque};

/// A new machine counts as whole so long after its start.
pub const CATCH_UP: Millis = 4_000;

#[derive(Default)]
pub struct Net {
    pub now: Millis,
    pub ks: BTreeMap<Name, Keeper>,
    /// Who runs at an address.
    pub at: BTreeMap<Name, Name>,
    pub down: Vec<Name>,
    pub wire: VecDeque<(Name, Name, PeerMessage)>,
    /// So many of the next parts of snapshots are lost.
    pub lose_parts: usize,
    /// Lengths of the frames that were sent with entries or with parts of snapshots.
    pub sent_lengths: Vec<usize>,
    pub reps: Vec<(u64, Reply)>,
    /// What each keeper's disk holds.
    pub disks: BTreeMap<Name, RecoveredState>,
    /// Keepers that answer no proposals, pass nothing on and hear of nothing.
    pub deaf: Vec<Name>,
    /// Keepers that are cut off from all others; whoever asks them still reaches them.
    pub cut: Vec<Name>,
    /// Machines that may be lost at once; one if it is not said.
    pub borne: Option<usize>,
}

pub fn machine(n: &str) -> Voter {
    Voter { name: n.into(), addr: n.into() }
}

impl Net {
    pub fn new(names: &[&str]) -> Self {
        let view = View {
            version: 1,
            members: names.iter().map(|n| Name::from(*n)).collect(),
            voters: names.iter().map(|n| machine(n)).collect(),
        };
        let mut net = Net { now: 1_000, ..Default::default() };
        for n in names {
            net.add(n, view.clone());
        }
        net
    }
    pub fn add(&mut self, n: &str, view: View) {
        self.disks.insert(n.into(), RecoveredState { view, ..Default::default() });
        self.again(n);
    }
    /// It is started from its disk.
    pub fn again(&mut self, n: &str) {
        let k = Keeper::new(n.into(), self.now, self.disks[n].clone());
        self.put(n, n, k);
    }
    fn put(&mut self, n: &str, addr: &str, k: Keeper) {
        self.at.insert(addr.into(), n.into());
        self.ks.insert(n.into(), k);
    }
    /// A keeper that finds its place by itself: from its own disk, if that holds anything.
    pub fn seeker(&mut self, n: &str, addr: &str, seeds: &[&str], view: View) {
        let seeds = seeds.iter().map(|s| Name::from(*s)).collect();
        let found =
            self.disks.entry(n.into()).or_insert(RecoveredState { view, ..Default::default() }).clone();
        let (borne, replace_after) = (self.borne.unwrap_or(1), terms::replace_after(CATCH_UP));
        let way = DiscoverySettings { at: addr.into(), seeds, replace_after, voter_count: 2 * borne + 1 };
        let k = Keeper::new(n.into(), self.now, found).with_discovery(way).with_min_replicas(borne + 1);
        self.put(n, addr, k);
    }
    fn sync(&mut self, n: &str, r: &Record) {
        let Some(d) = self.disks.get_mut(n) else { return };
        match r {
            Record::Acceptor { acceptor } => d.acceptor = acceptor.clone(),
            Record::View { view } => d.view = view.clone(),
            Record::Served { version } => d.served_version = *version,
            Record::CatchingUp { catching_up } => d.catching_up = *catching_up,
            Record::Snapshot { store } => (d.store, d.log) = (store.as_ref().clone(), Default::default()),
            Record::Entry { entry } => {
                d.store.apply(&entry.unpack().unwrap());
                d.log.push_back(entry.clone());
            }
        }
    }
    pub fn step(&mut self, n: &str, i: Input) {
        if self.down.iter().any(|d| d == n) {
            return;
        }
        let now = self.now;
        let Some(k) = self.ks.get_mut(n) else { return };
        let outs = k.step(now, i);
        let to_name = |to: &Name| k.addr(to);
        let outs: Vec<(Option<Name>, Output)> = outs
            .into_iter()
            .map(|o| (if let Output::Send(to, _) = &o { to_name(to) } else { None }, o))
            .collect();
        for (addr, o) in outs {
            match o {
                Output::Send(_, m) => {
                    if self.lose_parts > 0 && matches!(m, PeerMessage::Snapshot { .. }) {
                        self.lose_parts -= 1;
                        continue;
                    }
                    if matches!(m, PeerMessage::Snapshot { .. } | PeerMessage::AppendEntries { .. }) {
                        let frame = KeeperRequest::Peer { from: n.into(), message: m.clone() };
                        self.sent_lengths.push(borsh::to_vec(&frame).unwrap().len());
                    }
                    let to = addr.and_then(|a| self.at.get(&a).cloned());
                    self.wire.extend(to.map(|to| (n.into(), to, m)));
                }
                Output::Reply(t, r) => self.reps.push((t, r)),
                Output::Persist(r) => self.sync(n, &r),
                Output::Log(_) => {}
            }
        }
    }
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 20;
            for n in self.ks.keys().cloned().collect::<Vec<_>>() {
                self.step(&n, Input::Tick);
            }
            while let Some((from, to, m)) = self.wire.pop_front() {
                let cut = self.cut.contains(&to) != self.cut.contains(&from);
                if !cut && !self.deaf.contains(&to) && !self.down.contains(&from) {
                    self.step(&to, Input::Peer { from, message: m });
                }
            }
        }
    }
    pub fn ask(&mut self, n: &str, token: u64, ask: Request) {
        self.step(n, Input::Request { token, request: ask });
    }
    /// Enrolls a node's process; the entry that did.
    pub fn enroll(&mut self, node: &str, token: u64) -> ChangeNumber {
        let head = self.tail().and_then(|t| self.view(&t).head().cloned()).unwrap();
        let cmd = Command::EnrollNode { node: node.into(), incarnation: token };
        self.ask(&head, token, Request::Write { key: format!("enroll/{token}").into(), command: cmd });
        self.run(100);
        match self.rep(token) {
            Some(Reply::Answer { answer: Answer::Enrolled(n), .. }) => n,
            other => panic!("{other:?}"),
        }
    }
    /// A poll of the node at the tail.
    pub fn poll(&mut self, node: &str, token: u64, enrolled: ChangeNumber, have: ChangeNumber) {
        let tail = self.tail().unwrap();
        let ask =
            Request::Feed { node: node.into(), addr: node.into(), last_change: have, applied: 0, enrolled };
        self.ask(&tail, token, ask);
    }
    pub fn rep(&self, token: u64) -> Option<Reply> {
        self.reps.iter().find(|r| r.0 == token).map(|r| r.1.clone())
    }
    pub fn view(&self, n: &str) -> &View {
        &self.ks[n].view
    }
    /// The keeper that serves as the tail.
    pub fn tail(&self) -> Option<Name> {
        self.ks
            .values()
            .find(|k| k.can_commit() && !self.down.contains(&k.name) && !self.cut.contains(&k.name))
            .map(|k| k.name.clone())
    }
}
