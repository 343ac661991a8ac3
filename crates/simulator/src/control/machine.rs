//! The process of one machine: a real keeper, run as the daemon runs it, and its control API. The records of a step are
//! synced before any message or reply of the same step is sent; inputs are queued until the sync ends.
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
/// Largest number of inputs whose records share one sync.
const MAX_BATCH: usize = 65;
/// Largest number of queued inputs; further ones are dropped, as by the daemon's full channel.
const INBOX_CAPACITY: usize = 1_024;
/// A sync that takes longer counts as a stall, as for the daemon's driver: requests are rejected until it ends.
const STALL_TIMEOUT: Millis = 500;
/// Deadline for a peer to accept a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// A client's request whose reply is pending.
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
    /// Whether a sync is in progress.
    is_syncing: bool,
    /// Whether the sync in progress has taken longer than [`STALL_TIMEOUT`].
    pub(super) stalled: bool,
    pub(super) pending_calls: BTreeMap<u64, PendingCall>,
    pub(super) next_token: u64,
}

/// Starts the machine's process from the state on its disk.
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
        is_syncing: false,
        stalled: false,
        pending_calls: BTreeMap::new(),
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

/// Replaces the process's list of seeds.
pub fn update_seeds(process: &Process, seeds: Vec<Name>) {
    enqueue(process, Input::Seeds(seeds));
}

/// Requests the process to leave the chain and then end.
pub fn request_leave(process: &Process, within: Millis) {
    enqueue(process, Input::Leave { within });
}

fn tick(process: &Process) {
    if !process.lock().unwrap().is_syncing {
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

/// Processes the queued inputs in batches until a batch has to be synced.
fn process_inbox(shared: &Process) {
    let mut process = shared.lock().unwrap();
    while !process.is_syncing && !process.inbox.is_empty() {
        let batch = process.step_batch();
        process.persist(shared, batch);
    }
}

/// Ends a sync, successful or failed, sends the outputs of its batch, and processes the inputs queued meanwhile.
fn complete_sync(shared: &Process, batch: Batch) {
    {
        let mut process = shared.lock().unwrap();
        process.is_syncing = false;
        process.stalled = false;
        process.complete_batch(batch);
    }
    process_inbox(shared);
}

/// Waits for the disk, then completes the batch; pending requests are rejected once the sync counts as stalled.
async fn sync_to_disk(shared: Process, batch: Batch, cost: Millis) {
    let (disk, simulation) = {
        let process = shared.lock().unwrap();
        (process.disk.clone(), process.cluster.simulation.clone())
    };
    let started_at = simulation.now();
    let sync = disk.lock().unwrap().sync_ms;
    seam::sleep(Duration::from_millis(sync + cost)).await;
    while disk.lock().unwrap().stalled_until > simulation.now() {
        if simulation.now() >= started_at + STALL_TIMEOUT {
            reject_while_stalled(&shared);
        }
        seam::sleep(TICK).await;
    }
    complete_sync(&shared, batch);
}

/// Rejects the pending requests once for each stalled sync, so that their clients retry.
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
            self.cluster.invariants.lock().unwrap().observe(self.cluster.simulation.now(), keeper);
        }
        batch
    }

    /// Makes the batch durable, then sends its outputs.
    fn persist(&mut self, shared: &Process, batch: Batch) {
        let cost = self.step_delay();
        if batch.records.is_empty() && cost == 0 {
            return self.complete_batch(batch);
        }
        self.is_syncing = true;
        self.disk.lock().unwrap().write(batch.records.clone());
        seam::spawn(sync_to_disk(shared.clone(), batch, cost));
    }

    /// Sends the outputs of a batch whose sync has ended. A keeper suspended by a failed disk probes it when due.
    fn complete_batch(&mut self, batch: Batch) {
        let true_time = self.cluster.simulation.now();
        let saved = if batch.records.is_empty() { Ok(()) } else { self.disk.lock().unwrap().sync(true_time) };
        let outputs = self.host.complete_save(now(), saved, batch);
        self.send_outputs(outputs);
        if self.host.is_probe_due(now()) {
            let recovered = self.disk.lock().unwrap().probe(true_time);
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
                Output::Log(line) => self.cluster.simulation.log(&format!("{}: {line}", self.host.name())),
            }
        }
    }

    fn send(&self, to: Name, message: PeerMessage) {
        let Some(address) = self.host.keeper().and_then(|keeper| keeper.addr(&to)) else { return };
        let (caller, from) = (self.caller.clone(), self.host.name().clone());
        seam::spawn(async move {
            // The names of seeds are unknown before discovery; any other message must reach the keeper of that name.
            let destination = match message {
                PeerMessage::Discover { .. } => Destination::address(&address),
                _ => Destination::process(&to, &address),
            };
            let request = KeeperRequest::Peer { from, message };
            // Messages that fail are dropped: the keeper protocol sends them again.
            drop(caller.call(destination, &request, SEND_TIMEOUT).await);
        });
    }

    fn reply(&mut self, token: u64, reply: Reply) {
        let true_time = self.cluster.simulation.now();
        let Some(call) = self.pending_calls.remove(&token) else {
            let mut invariants = self.cluster.invariants.lock().unwrap();
            return invariants
                .record_violation(format!("C5 {} answers a call twice at {true_time}", self.host.name()));
        };
        if !call.kind.accepts(&reply) {
            let mut invariants = self.cluster.invariants.lock().unwrap();
            let text =
                format!("C5 {} answers {:?} with another kind at {true_time}", self.host.name(), call.kind);
            invariants.record_violation(text);
        }
        drop(call.reply_to.send(reply));
    }
}
