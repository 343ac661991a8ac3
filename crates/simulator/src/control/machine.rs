//! The process of one machine: a real keeper run as the daemon runs it, and the control API before it. What a step
//! persists is synced before anything of the same step leaves; inputs wait meanwhile.
use super::call_kind::CallKind;
use super::cluster::Cluster;
use super::configuration_api;
use super::disk::Disk;
use super::keeper_requests;
use super::recovery::recover;
use crate::fleet::simulation::ProcessId;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_store::host::{Batch, KeeperHost};
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::{KeeperRequest, PeerMessage, Reply};
use quincehatch_wire::{Caller, Destination, Identity};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

pub type Process = Arc<Mutex<KeeperProcess>>;

const TICK: Duration = Duration::from_millis(20);
/// Inputs that share one sync.
const MAX_BATCH: usize = 65;
/// Inputs that wait at most; more are dropped, as with the daemon's full channel.
const INBOX_CAPACITY: usize = 1_024;
/// A write that lasts longer is a stall, as for the daemon's driver: requests are rejected until it ends.
const STALL_TIMEOUT: Millis = 500;
/// A peer that does not take a message in this time is given up.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// A client's request that waits for its reply.
pub struct PendingCall {
    pub kind: CallKind,
    pub reply_to: oneshot::Sender<Reply>,
}

/// The process of one machine.
pub struct KeeperProcess {
    cluster: Arc<Cluster>,
    index: usize,
    pub(super) host: KeeperHost,
    caller: Arc<Caller>,
    disk: Arc<Mutex<Disk>>,
    inbox: VecDeque<Input>,
    /// A sync is under way; `stalled` once it lasts too long.
    busy: bool,
    pub(super) stalled: bool,
    pub(super) calls: BTreeMap<u64, PendingCall>,
    pub(super) next_token: u64,
}

/// Starts the machine's process from its disk.
pub fn start(cluster: &Arc<Cluster>, index: usize, pid: ProcessId) {
    let (address, disk, seeds) = {
        let mut state = cluster.state.lock().unwrap();
        state.machines[index].pid = pid;
        let machine = &state.machines[index];
        (machine.address.clone(), machine.disk.clone(), state.seeds.clone())
    };
    let host = recover(cluster, &address, &disk, &seeds);
    let identity = Identity::new(host.name());
    let process = Arc::new(Mutex::new(KeeperProcess {
        cluster: cluster.clone(),
        index,
        host,
        caller: Caller::new(identity.clone()),
        disk,
        inbox: VecDeque::new(),
        busy: false,
        stalled: false,
        calls: BTreeMap::new(),
        next_token: 0,
    }));
    cluster.state.lock().unwrap().machines[index].process = Some(process.clone());
    keeper_requests::listen(cluster, &process, &address, pid, identity);
    configuration_api::listen(cluster, pid, &address, &seeds);
    seam::spawn(async move {
        loop {
            seam::sleep(TICK).await;
            tick(&process);
        }
    });
}

/// The process is told other seeds.
pub fn update_seeds(process: &Process, seeds: Vec<Name>) {
    enqueue(process, Input::Seeds(seeds));
}

/// The process is told to leave the chain and end.
pub fn request_leave(process: &Process, within: Millis) {
    enqueue(process, Input::Leave { within });
}

fn tick(process: &Process) {
    if !process.lock().unwrap().busy {
        enqueue(process, Input::Tick);
    }
}

pub fn enqueue(process: &Process, input: Input) {
    {
        let mut process = process.lock().unwrap();
        if process.inbox.len() < INBOX_CAPACITY {
            process.inbox.push_back(input);
        }
    }
    process_inbox(process);
}

/// Steps whatever has come, unless a sync is under way.
fn process_inbox(shared: &Process) {
    let mut process = shared.lock().unwrap();
    while !process.busy && !process.inbox.is_empty() {
        let batch = process.step_batch();
        process.persist(shared, batch);
    }
}

/// The sync is done, or was refused: what the steps sent leaves now. A suspended keeper tries its disk.
fn complete_sync(shared: &Process, batch: Batch) {
    {
        let mut process = shared.lock().unwrap();
        process.busy = false;
        process.stalled = false;
        process.complete_batch(batch);
    }
    process_inbox(shared);
}

/// Waits as long as the disk takes; requests are rejected once that is too long.
async fn sync_to_disk(shared: Process, batch: Batch, cost: Millis) {
    let (disk, core) = {
        let process = shared.lock().unwrap();
        (process.disk.clone(), process.cluster.core.clone())
    };
    let began = core.now();
    let sync = disk.lock().unwrap().sync_ms;
    seam::sleep(Duration::from_millis(sync + cost)).await;
    while disk.lock().unwrap().stalled_until > core.now() {
        if core.now() >= began + STALL_TIMEOUT {
            reject_while_stalled(&shared);
        }
        seam::sleep(TICK).await;
    }
    complete_sync(&shared, batch);
}

/// Whoever waits for a write that lasts too long is told to ask again.
fn reject_while_stalled(shared: &Process) {
    let mut process = shared.lock().unwrap();
    if !process.stalled {
        process.stalled = true;
        let rejected = process.host.reject_pending_requests();
        process.send_outputs(rejected);
    }
}

impl KeeperProcess {
    fn step_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let count = self.inbox.len().min(MAX_BATCH);
        for input in self.inbox.drain(..count) {
            self.host.step(now(), input, &mut batch);
        }
        if let Some(keeper) = self.host.keeper() {
            self.cluster.invariants.lock().unwrap().observe(self.cluster.core.now(), keeper);
        }
        batch
    }

    /// Makes the batch durable, then sends what came of it.
    fn persist(&mut self, shared: &Process, batch: Batch) {
        let cost = self.step_delay();
        if batch.records.is_empty() && cost == 0 {
            return self.complete_batch(batch);
        }
        self.busy = true;
        self.disk.lock().unwrap().write(batch.records.clone());
        seam::spawn(sync_to_disk(shared.clone(), batch, cost));
    }

    fn complete_batch(&mut self, batch: Batch) {
        let at = self.cluster.core.now();
        let saved = if batch.records.is_empty() { Ok(()) } else { self.disk.lock().unwrap().sync(at) };
        let outputs = self.host.complete_save(now(), saved, batch);
        self.send_outputs(outputs);
        if self.host.is_probe_due(now()) {
            let recovered = self.disk.lock().unwrap().probe(at);
            let resumed = self.host.complete_probe(now(), recovered);
            let outputs = self.host.complete_save(now(), Ok(()), resumed);
            self.send_outputs(outputs);
        }
    }

    fn step_delay(&self) -> Millis {
        self.cluster.state.lock().unwrap().machines[self.index].step_delay
    }

    fn send_outputs(&mut self, outputs: Vec<Output>) {
        if let Some(keeper) = self.host.keeper() {
            self.cluster.invariants.lock().unwrap().record_outputs(keeper);
        }
        for output in outputs {
            match output {
                Output::Persist(_) => {}
                Output::Send(to, message) => self.send(to, message),
                Output::Reply(token, reply) => self.reply(token, reply),
                Output::Log(line) => self.cluster.core.log(&format!("{}: {line}", self.host.name())),
            }
        }
    }

    fn send(&self, to: Name, message: PeerMessage) {
        let Some(address) = self.host.keeper().and_then(|keeper| keeper.addr(&to)) else { return };
        let (caller, from) = (self.caller.clone(), self.host.name().clone());
        seam::spawn(async move {
            // Seeds are known by their address alone; everything else is for the keeper of that very name.
            let destination = match message {
                PeerMessage::Discover { .. } => Destination::address(&address),
                _ => Destination::process(&to, &address),
            };
            let request = KeeperRequest::Peer { from, message };
            // The protocol sends again what is not taken.
            drop(caller.call(destination, &request, SEND_TIMEOUT).await);
        });
    }

    fn reply(&mut self, token: u64, reply: Reply) {
        let at = self.cluster.core.now();
        let Some(call) = self.calls.remove(&token) else {
            let mut invariants = self.cluster.invariants.lock().unwrap();
            return invariants
                .record_violation(format!("C5 {} answers a call twice at {at}", self.host.name()));
        };
        if !call.kind.accepts(&reply) {
            let mut invariants = self.cluster.invariants.lock().unwrap();
            let text = format!("C5 {} answers {:?} with another kind at {at}", self.host.name(), call.kind);
            invariants.record_violation(text);
        }
        drop(call.reply_to.send(reply));
    }
}
