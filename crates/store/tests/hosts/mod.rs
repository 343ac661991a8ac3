//! Keeper hosts with disks that fail or stall on demand, in virtual time.
#![allow(dead_code)]
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_store::disk_usage::DiskUsage;
use quincehatch_store::host::{Batch, KeeperHost};
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::record::{Record, RecoveredState};
use quincehatch_store::storage::stable_storage::StableStorage;
use quincehatch_store::{Keeper, PeerMessage, Reply, Request, Store, View, Voter};
use std::collections::{BTreeMap, VecDeque};

const TICK: Millis = 20;

/// A disk in memory that fails or stalls on demand.
#[derive(Default)]
pub struct FaultyDisk {
    state: RecoveredState,
    pub fails: bool,
    pub stall: Millis,
}

fn disk_full() -> Error {
    ErrorCode::DiskFailed.with_detail("No space left on device")
}

impl StableStorage for FaultyDisk {
    fn save(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.fails {
            return Err(disk_full());
        }
        for record in records {
            match record {
                Record::Acceptor { acceptor } => self.state.acceptor = acceptor.clone(),
                Record::View { view } => self.state.view = view.clone(),
                Record::Served { version } => self.state.served_version = *version,
                Record::CatchingUp { catching_up } => self.state.catching_up = *catching_up,
                Record::Snapshot { store } => {
                    self.state.store = store.as_ref().clone();
                    self.state.log.clear();
                }
                Record::Entry { entry } => {
                    self.state.store.apply(&entry.unpack().unwrap());
                    self.state.log.push_back(entry.clone());
                }
            }
        }
        Ok(())
    }
    fn is_snapshot_due(&self) -> bool {
        false
    }
    fn write_snapshot(&mut self, _: &Store) -> Result<(), Error> {
        Ok(())
    }
    fn recover(&mut self) -> Result<RecoveredState, Error> {
        if self.fails { Err(disk_full()) } else { Ok(self.state.clone()) }
    }
    fn usage(&self) -> DiskUsage {
        DiskUsage { used: 1, allowed: 100 }
    }
}

/// A message that was sent and not yet delivered.
struct MessageInFlight {
    from: Name,
    to: Name,
    message: PeerMessage,
}

/// A line that a keeper logged.
pub struct LoggedLine {
    pub keeper: Name,
    pub line: String,
}

/// A cluster of keeper hosts, each with its own disk. The name of a keeper is also its address.
#[derive(Default)]
pub struct Hosts {
    pub now: Millis,
    pub hosts: BTreeMap<Name, KeeperHost>,
    pub disks: BTreeMap<Name, FaultyDisk>,
    in_flight: VecDeque<MessageInFlight>,
    /// The sent replies, with the tokens of their requests.
    pub replies: Vec<(u64, Reply)>,
    pub logged: Vec<LoggedLine>,
    /// Number of messages that each host has sent to its peers.
    pub sent: BTreeMap<Name, usize>,
}

impl Hosts {
    pub fn new(names: &[&str]) -> Self {
        let members: Vec<Name> = names.iter().map(|name| Name::from(*name)).collect();
        let voters = members.iter().map(|name| Voter { name: name.clone(), addr: name.clone() }).collect();
        let view = View { version: 1, members: members.clone(), voters };
        let mut cluster = Self { now: 1_000, ..Default::default() };
        for name in members {
            let state = RecoveredState { view: view.clone(), ..Default::default() };
            let keeper_name = name.clone();
            let make_keeper = Box::new(move |state, now| Keeper::new(keeper_name.clone(), now, state));
            cluster.hosts.insert(name.clone(), KeeperHost::new(state.clone(), cluster.now, make_keeper));
            cluster.disks.insert(name, FaultyDisk { state, ..Default::default() });
        }
        cluster
    }

    pub fn disk(&mut self, name: &str) -> &mut FaultyDisk {
        self.disks.get_mut(name).unwrap()
    }

    pub fn step(&mut self, name: &str, input: Input) {
        let mut batch = Batch::default();
        self.hosts.get_mut(name).unwrap().step(self.now, input, &mut batch);
        self.commit(name, batch);
    }

    fn commit(&mut self, name: &str, batch: Batch) {
        let disk = self.disks.get_mut(name).unwrap();
        let mut saved = Ok(());
        if !batch.records.is_empty() {
            saved = disk.save(&batch.records);
            self.now += std::mem::take(&mut disk.stall);
        }
        let host = self.hosts.get_mut(name).unwrap();
        host.record_disk_usage(disk.usage());
        let outputs = host.complete_save(self.now, saved, batch);
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    *self.sent.entry(name.into()).or_default() += 1;
                    self.in_flight.push_back(MessageInFlight { from: name.into(), to, message });
                }
                Output::Reply(token, reply) => self.replies.push((token, reply)),
                Output::Log(line) => self.logged.push(LoggedLine { keeper: name.into(), line }),
                Output::Persist(record) => panic!("{record:?} is among the outputs"),
            }
        }
    }

    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        while self.now < end {
            self.now += TICK;
            for name in &names {
                self.step(name, Input::Tick);
                self.probe(name);
            }
            while let Some(MessageInFlight { from, to, message }) = self.in_flight.pop_front() {
                self.step(&to, Input::Peer { from, message });
            }
        }
    }

    fn probe(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).unwrap();
        if host.is_probe_due(self.now) {
            let recovered = self.disks.get_mut(name).unwrap().recover();
            let batch = host.complete_probe(self.now, recovered);
            self.commit(name, batch);
        }
    }

    pub fn request(&mut self, name: &str, token: u64, request: Request) {
        self.step(name, Input::Request { token, request });
    }

    pub fn replies_to(&self, token: u64) -> Vec<&Reply> {
        self.replies.iter().filter(|(answered, _)| *answered == token).map(|(_, reply)| reply).collect()
    }

    pub fn keeper(&self, name: &str) -> &Keeper {
        self.hosts[name].keeper().unwrap_or_else(|| panic!("{name} is suspended"))
    }

    /// Returns the keeper that serves as the tail.
    pub fn tail(&self) -> Option<&Keeper> {
        self.hosts.values().filter_map(KeeperHost::keeper).find(|keeper| keeper.can_commit())
    }
}
