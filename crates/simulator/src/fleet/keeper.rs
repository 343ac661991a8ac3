//! A keeper in the simulator: the real [`Keeper`] over a simulated disk, which holds exactly what was synced.
pub use super::keeper_disk::Disk;
use super::keeper_disk::persist;
use super::keeper_registry::Progress;
pub use super::keeper_registry::{CommitWatch, KeeperRegistry};
use super::network::Message;
use super::simulation::{ProcessId, Simulation};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam::{self, BoxFuture};
use quincehatch_store::compression::PackedText;
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::{
    FeedSnapshot, Keeper, KeeperRequest, KeeperResponse, PackedSnapshot, PeerMessage, Reply, Request,
};
use quincehatch_wire::{Identity, ReceivedRequest};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval between two ticks of a keeper.
const TICK: Duration = Duration::from_millis(20);
/// Number of steps out of [`CRASH_SCALE`] in which a keeper crashes while crashes are enabled. In half of them it
/// crashes before its records are synced, in the others after the sync and before its messages are sent.
const CRASHES: u64 = 4;
const CRASH_SCALE: u64 = 100_000;
/// Interval, in local time, between two status lines of a verbose run.
const STATUS_INTERVAL: Millis = 1_000;
/// Lease that a tail grants under the injected bug `stale-tail`.
const STALE_TAIL_LEASE: Millis = 4_000;

/// The setup of a keeper of a simulated group.
#[derive(Clone)]
pub struct KeeperSetup {
    /// The keeper's name in the chain.
    pub name: Name,
    /// The address at which the keeper listens.
    pub addr: String,
    /// The keeper's disk.
    pub disk: Disk,
    /// The registry of the group that the keeper belongs to.
    pub registry: Arc<KeeperRegistry>,
}

/// A running keeper, and the volatile state of its process.
struct RunningKeeper {
    keeper: Keeper,
    pending_replies: BTreeMap<u64, oneshot::Sender<Reply>>,
    next_token: u64,
    last_logged: Millis,
}

/// The process of a keeper; clones share the running keeper.
#[derive(Clone)]
struct KeeperProcess {
    simulation: Arc<Simulation>,
    pid: ProcessId,
    setup: KeeperSetup,
    identity: Identity,
    running: Arc<Mutex<RunningKeeper>>,
}

/// Starts a keeper from the state on its disk.
pub fn start_keeper(simulation: &Arc<Simulation>, pid: ProcessId, setup: &KeeperSetup) {
    let recovered_state = setup.disk.lock().unwrap().clone();
    let running = RunningKeeper {
        keeper: Keeper::new(setup.name.clone(), now(), recovered_state),
        pending_replies: BTreeMap::new(),
        next_token: 0,
        last_logged: 0,
    };
    let process = KeeperProcess {
        simulation: simulation.clone(),
        pid,
        setup: setup.clone(),
        identity: Identity::new(&setup.name),
        running: Arc::new(Mutex::new(running)),
    };
    let receiver = process.clone();
    let on_peer = move |from: ProcessId, message: PeerMessage| receiver.receive_from_peer(from, message);
    simulation.lock().network.peer_handlers.insert(pid, Arc::new(on_peer));
    let receiver = process.clone();
    let on_frame = move |bytes: Vec<u8>| receiver.answer_frame(&bytes);
    simulation.listen_frames(&setup.addr, pid, Arc::new(on_frame));
    seam::spawn(async move {
        loop {
            seam::sleep(TICK).await;
            process.step(Input::Tick);
        }
    });
}

impl KeeperProcess {
    fn receive_from_peer(&self, from: ProcessId, message: PeerMessage) {
        let registered = self.setup.registry.process_by_name.lock().unwrap();
        let sender = registered.iter().find(|(_, pid)| **pid == from).map(|(name, _)| name.clone());
        drop(registered);
        if let Some(from) = sender {
            self.step(Input::Peer { from, message });
        }
    }

    fn answer_frame(&self, bytes: &[u8]) -> BoxFuture<'static, Option<Vec<u8>>> {
        let (call, request) = match quincehatch_wire::decode_request::<KeeperRequest>(&self.identity, bytes) {
            Ok(ReceivedRequest::Request { call, request: KeeperRequest::Node { request } }) => {
                (call, request)
            }
            Ok(ReceivedRequest::Rejected(frame)) => return Box::pin(async { Some(frame) }),
            _ => return Box::pin(async { None }),
        };
        let waiting = self.submit(request);
        let identity = self.identity.clone();
        Box::pin(async move {
            let answer = KeeperResponse::Reply { reply: waiting.await.ok()? };
            quincehatch_wire::encode_answer_frame::<KeeperRequest>(&identity, call, &answer).ok()
        })
    }

    /// Submits a client's request to the keeper; returns the pending reply.
    fn submit(&self, request: Request) -> oneshot::Receiver<Reply> {
        let (tx, rx) = oneshot::channel();
        let mut running = self.running.lock().unwrap();
        // The injected bug: a tail grants a lease on its store without checking that its own lease is valid.
        let stale_tail = matches!(request, Request::Feed { .. })
            && self.simulation.has_bug("stale-tail")
            && running.keeper.is_tail();
        if stale_tail {
            let store = &running.keeper.store;
            let text = PackedText::pack(
                store.configuration().map_or("", |configuration_document| &configuration_document.text),
            );
            let snapshot = PackedSnapshot::pack(&FeedSnapshot::from_store(store, text));
            let _ = tx.send(Reply::PackedSnapshot { snapshot, lease_ms: STALE_TAIL_LEASE });
            return rx;
        }
        running.next_token += 1;
        let token = running.next_token;
        running.pending_replies.insert(token, tx);
        drop(running);
        self.step(Input::Request { token, request });
        rx
    }

    /// Runs one step; its records are synced before any of its messages or replies is sent.
    fn step(&self, input: Input) {
        let mut running = self.running.lock().unwrap();
        let outputs = running.keeper.step(now(), input);
        let (draw, crashes_enabled) = {
            let mut state = self.simulation.lock();
            (state.rng.below(CRASH_SCALE), state.crashes_enabled)
        };
        let crashes = crashes_enabled && draw < CRASHES;
        let crashes_before_sync = crashes && draw < CRASHES / 2;
        if !crashes_before_sync {
            self.persist_records(&outputs);
        }
        if crashes {
            drop(running);
            return self.simulation.crash_and_restart(self.pid);
        }
        let replies = self.send_outputs(&mut running, outputs);
        self.log_status(&mut running);
        let progress = running.progress();
        drop(running);
        self.setup.registry.commit_watch.lock().unwrap().observe(self.simulation.now(), &progress);
        for (waiting, reply) in replies {
            let _ = waiting.send(reply);
        }
    }

    fn persist_records(&self, outputs: &[Output]) {
        let loses_entries = self.simulation.has_bug("unsynced");
        for output in outputs {
            if let Output::Persist(record) = output {
                persist(&self.setup.disk, record, loses_entries);
            }
        }
    }

    /// Sends messages to peers. Replies are returned, to be sent once the keeper is unlocked.
    fn send_outputs(
        &self,
        running: &mut RunningKeeper,
        outputs: Vec<Output>,
    ) -> Vec<(oneshot::Sender<Reply>, Reply)> {
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    let to = self.setup.registry.process_by_name.lock().unwrap().get(&to).copied();
                    if let Some(to) = to {
                        self.simulation.lock().send(self.pid, to, Message::Peer(message));
                    }
                }
                Output::Reply(token, reply) => {
                    replies.extend(running.pending_replies.remove(&token).map(|waiting| (waiting, reply)));
                }
                Output::Log(line) => self.simulation.log(&format!("{}: {line}", running.keeper.name)),
                Output::Persist(_) => {}
            }
        }
        replies
    }

    fn log_status(&self, running: &mut RunningKeeper) {
        if !self.simulation.verbose || running.last_logged + STATUS_INTERVAL >= now() {
            return;
        }
        running.last_logged = now();
        let status = running.keeper.status();
        self.simulation.log(&format!(
            "{} at change {}, committed {}, in force {} {}",
            status.name, status.last_change, status.committed, status.in_force, status.reason
        ));
    }
}

impl RunningKeeper {
    fn progress(&self) -> Progress {
        let keeper = &self.keeper;
        Progress {
            serving: keeper.is_serving(),
            last_change: keeper.store.last_change,
            committed: keeper.committed,
            name: keeper.name.clone(),
            view: keeper.view.version,
        }
    }
}
