//! Keepers that are connected by a simulated network and run in virtual time.
#![allow(dead_code)]
pub mod three_keepers;

use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_store::{
    Answer, Command, DiscoverySettings, Input, Keeper, KeeperRequest, Output, PeerMessage, Record,
    RecoveredState, Reply, Request, View, Voter, timing,
};
use std::collections::{BTreeMap, VecDeque};

/// Time after its start within which a replacement must have the whole store, in milliseconds.
pub const CATCH_UP_TIME: Millis = 4_000;
/// Virtual time at which a cluster starts. It is not 0, because keepers use 0 for events that have never happened.
pub const START: Millis = 1_000;
/// Interval between two ticks of each keeper.
const TICK: Millis = 20;

/// A message that was sent and not yet delivered.
pub struct InFlight {
    pub from: Name,
    pub to: Name,
    pub message: PeerMessage,
}

/// A reply that a keeper sent to a client.
#[derive(Debug)]
pub struct SentReply {
    pub token: u64,
    pub reply: Reply,
}

#[derive(Default)]
pub struct Cluster {
    pub now: Millis,
    pub keepers: BTreeMap<Name, Keeper>,
    /// The keeper that runs at each address.
    pub running_at: BTreeMap<Name, Name>,
    /// Keepers that are stopped.
    pub down: Vec<Name>,
    pub in_flight: VecDeque<InFlight>,
    /// Number of snapshot parts that are still to be lost.
    pub remaining_snapshot_losses: usize,
    /// Lengths of the sent frames that contain entries or parts of snapshots.
    pub sent_frame_lengths: Vec<usize>,
    pub replies: Vec<SentReply>,
    /// The durable state of each keeper.
    pub disks: BTreeMap<Name, RecoveredState>,
    /// Keepers that receive no messages.
    pub unreachable: Vec<Name>,
    /// Keepers that are partitioned from all other keepers; clients still reach them.
    pub partitioned: Vec<Name>,
    /// Number of disks that may be lost at the same time without a loss of data; 1 if `None`.
    pub tolerated_losses: Option<usize>,
}

pub fn voter(name: &str) -> Voter {
    Voter { name: name.into(), addr: name.into() }
}

impl Cluster {
    /// Starts these keepers, all with a first view that contains them.
    pub fn new(names: &[&str]) -> Self {
        let members = names.iter().map(|name| Name::from(*name)).collect();
        let voters = names.iter().map(|name| voter(name)).collect();
        let view = View { version: 1, members, voters };
        let mut cluster = Cluster { now: START, ..Default::default() };
        for name in names {
            cluster.add(name, view.clone());
        }
        cluster
    }

    /// Starts a new keeper whose disk contains only the view.
    pub fn add(&mut self, name: &str, view: View) {
        self.disks.insert(name.into(), RecoveredState { view, ..Default::default() });
        self.restart(name);
    }

    /// Starts a keeper from its disk.
    pub fn restart(&mut self, name: &str) {
        let keeper = Keeper::new(name.into(), self.now, self.disks[name].clone());
        self.insert(name, name, keeper);
    }

    /// Starts a keeper that discovers the other keepers through the seeds. It starts from its disk if there is one,
    /// otherwise with `view`.
    pub fn start(&mut self, name: &str, addr: &str, seeds: &[&str], view: View) {
        let empty = RecoveredState { view, ..Default::default() };
        let recovered = self.disks.entry(name.into()).or_insert(empty).clone();
        let tolerated_losses = self.tolerated_losses.unwrap_or(1);
        let settings = DiscoverySettings {
            own_addr: addr.into(),
            seeds: seeds.iter().map(|seed| Name::from(*seed)).collect(),
            voter_replacement_delay: timing::voter_replacement_delay(CATCH_UP_TIME),
            voter_count: 2 * tolerated_losses + 1,
        };
        let keeper = Keeper::new(name.into(), self.now, recovered)
            .with_discovery(settings)
            .with_min_replicas(tolerated_losses + 1);
        self.insert(name, addr, keeper);
    }

    fn insert(&mut self, name: &str, addr: &str, keeper: Keeper) {
        self.running_at.insert(addr.into(), name.into());
        self.keepers.insert(name.into(), keeper);
    }

    /// Passes one input to a keeper, unless it is stopped, and processes its outputs.
    pub fn step(&mut self, name: &str, input: Input) {
        if self.down.iter().any(|down| down == name) {
            return;
        }
        let Some(keeper) = self.keepers.get_mut(name) else { return };
        let outputs = keeper.step(self.now, input);
        // The addresses are looked up before any output is processed, as in the keeper's driver.
        let keeper = &self.keepers[name];
        let addressed: Vec<(Option<Name>, Output)> =
            outputs.into_iter().map(|output| (receiver_addr(keeper, &output), output)).collect();
        for (addr, output) in addressed {
            match output {
                Output::Send(_, message) => self.transmit(name, addr, message),
                Output::Reply(token, reply) => self.replies.push(SentReply { token, reply }),
                Output::Persist(record) => self.persist(name, &record),
                Output::Log(_) => {}
            }
        }
    }

    fn transmit(&mut self, from: &str, addr: Option<Name>, message: PeerMessage) {
        let is_part = matches!(message, PeerMessage::Snapshot { .. });
        if self.remaining_snapshot_losses > 0 && is_part {
            self.remaining_snapshot_losses -= 1;
            return;
        }
        if is_part || matches!(message, PeerMessage::AppendEntries { .. }) {
            let frame = KeeperRequest::Peer { from: from.into(), message: message.clone() };
            self.sent_frame_lengths.push(borsh::to_vec(&frame).unwrap().len());
        }
        if let Some(to) = addr.and_then(|addr| self.running_at.get(&addr).cloned()) {
            self.in_flight.push_back(InFlight { from: from.into(), to, message });
        }
    }

    fn persist(&mut self, name: &str, record: &Record) {
        let Some(disk) = self.disks.get_mut(name) else { return };
        match record {
            Record::Acceptor { acceptor } => disk.acceptor = acceptor.clone(),
            Record::View { view } => disk.view = view.clone(),
            Record::Served { version } => disk.served_version = *version,
            Record::CatchingUp { catching_up } => disk.catching_up = *catching_up,
            Record::Snapshot { store } => {
                disk.store = store.as_ref().clone();
                disk.log.clear();
            }
            Record::Entry { entry } => {
                disk.store.apply(&entry.unpack().unwrap());
                disk.log.push_back(entry.clone());
            }
        }
    }

    /// Advances virtual time: ticks all keepers, and delivers the messages in flight after each tick.
    pub fn run_for(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let names: Vec<Name> = self.keepers.keys().cloned().collect();
            for name in names {
                self.step(&name, Input::Tick);
            }
            while let Some(InFlight { from, to, message }) = self.in_flight.pop_front() {
                let crosses_partition = self.partitioned.contains(&to) != self.partitioned.contains(&from);
                if !crosses_partition && !self.unreachable.contains(&to) && !self.down.contains(&from) {
                    self.step(&to, Input::Peer { from, message });
                }
            }
        }
    }

    /// Sends a request to a keeper.
    pub fn request(&mut self, name: &str, token: u64, request: Request) {
        self.step(name, Input::Request { token, request });
    }

    /// Enrolls a node's process and returns the number of the entry that enrolled it.
    pub fn enroll(&mut self, node: &str, token: u64) -> ChangeNumber {
        let head = self.head().unwrap();
        let command = Command::EnrollNode { node: node.into(), incarnation: token };
        self.request(&head, token, Request::Write { key: format!("enroll/{token}").into(), command });
        self.run_for(100);
        match self.reply_to(token) {
            Some(Reply::Answer { answer: Answer::Enrolled(number), .. }) => number,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a node's poll to the tail.
    pub fn poll(&mut self, node: &str, token: u64, enrolled: ChangeNumber, last_change: ChangeNumber) {
        let tail = self.tail().unwrap();
        let request =
            Request::Feed { node: node.into(), addr: node.into(), last_change, applied: 0, enrolled };
        self.request(&tail, token, request);
    }

    /// Returns the first reply to a request.
    pub fn reply_to(&self, token: u64) -> Option<Reply> {
        self.replies.iter().find(|sent| sent.token == token).map(|sent| sent.reply.clone())
    }

    pub fn view(&self, name: &str) -> &View {
        &self.keepers[name].view
    }

    /// Returns the address at which a keeper runs.
    pub fn addr(&self, name: &Name) -> Name {
        let mut addrs = self.running_at.iter();
        addrs.find(|(_, running)| *running == name).map(|(addr, _)| addr.clone()).unwrap()
    }

    /// Returns the keeper that serves as the tail, unless it is stopped or partitioned.
    pub fn tail(&self) -> Option<Name> {
        let is_reachable =
            |keeper: &&Keeper| !self.down.contains(&keeper.name) && !self.partitioned.contains(&keeper.name);
        let mut reachable = self.keepers.values().filter(is_reachable);
        reachable.find(|keeper| keeper.can_commit()).map(|keeper| keeper.name.clone())
    }

    /// Returns the head of the view of the serving tail.
    pub fn head(&self) -> Option<Name> {
        let tail = self.tail()?;
        self.view(&tail).head().cloned()
    }
}

fn receiver_addr(keeper: &Keeper, output: &Output) -> Option<Name> {
    match output {
        Output::Send(to, _) => keeper.addr(to),
        _ => None,
    }
}
