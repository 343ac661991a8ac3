//! Runs a [`KeeperHost`] under tokio: the same steps that the simulator runs, with a real disk and network.

mod incoming;
mod storage_thread;

use crate::host::{Batch, KeeperHost};
use crate::keeper::{Input, Output};
use crate::messages::Reply;
use crate::peers::Peers;
use crate::storage::stable_storage::StableStorage;
use incoming::{Incoming, IncomingQueue, serve_connections};
use quincehatch_core::{Error, Millis};
use quincehatch_runtime::now;
use quincehatch_wire::Identity;
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// A keeper that has left the chain stays for this time, so that its last messages go out (milliseconds).
const LINGER_AFTER_LEAVE: Millis = 100;
/// Steps that share one sync of the disk.
const STEPS_PER_SYNC: usize = 64;
/// Time between two ticks of the keeper.
const TICK: Duration = Duration::from_millis(20);

/// Inputs from the process in which the keeper runs.
pub type InputReceiver = mpsc::Receiver<Input>;

/// Serves until the keeper has left the chain or `stop` changes.
///
/// # Errors
/// If the thread that writes to the disk ends. Errors of the disk itself only suspend the keeper.
pub async fn run_keeper<D: StableStorage>(
    host: KeeperHost,
    disk: D,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let (_sender, no_inputs) = mpsc::channel(1);
    run_keeper_with_inputs(host, disk, listener, stop, no_inputs).await
}

/// Serves as [`run_keeper`] does, and takes inputs from the process too.
///
/// # Errors
/// As with [`run_keeper`].
pub async fn run_keeper_with_inputs<D: StableStorage>(
    host: KeeperHost,
    disk: D,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    mut inputs: InputReceiver,
) -> Result<(), Error> {
    let identity = Identity::new(host.name());
    let (server, mut incoming) = serve_connections(listener, identity.clone());
    let mut driver = Driver::new(host, disk, identity);
    let mut left_at = None;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut batch = Batch::default();
        tokio::select! {
            _ = stop.changed() => break,
            _ = tick.tick() => driver.step(Input::Tick, &mut batch),
            Some(input) = inputs.recv() => driver.step(input, &mut batch),
            Some(message) = incoming.recv() => driver.admit(message, &mut batch),
        }
        driver.admit_queued(&mut incoming, &mut batch);
        driver.commit(batch, &mut incoming).await?;
        driver.probe(&mut incoming).await?;
        if driver.host.has_left() && now() >= *left_at.get_or_insert_with(now) + LINGER_AFTER_LEAVE {
            break;
        }
    }
    server.abort();
    Ok(())
}

struct Driver<D> {
    host: KeeperHost,
    /// `None` while a write is under way.
    disk: Option<D>,
    peers: Peers,
    /// Clients that wait for replies, by the token of their request.
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
    last_token: u64,
}

impl<D: StableStorage> Driver<D> {
    fn new(mut host: KeeperHost, disk: D, identity: Identity) -> Self {
        host.record_disk_usage(disk.usage());
        let peers = Peers::new(identity);
        Self { host, disk: Some(disk), peers, waiting: HashMap::new(), last_token: 0 }
    }

    fn step(&mut self, input: Input, batch: &mut Batch) {
        self.host.step(now(), input, batch);
    }

    fn admit(&mut self, message: Incoming, batch: &mut Batch) {
        let input = match message {
            Incoming::Peer(input) => input,
            Incoming::Request(request, reply_to) => {
                self.last_token += 1;
                self.waiting.insert(self.last_token, reply_to);
                Input::Request { token: self.last_token, request }
            }
        };
        self.step(input, batch);
    }

    /// Admits what has arrived meanwhile, so that one sync of the disk serves all of it.
    fn admit_queued(&mut self, incoming: &mut IncomingQueue, batch: &mut Batch) {
        for _ in 0..STEPS_PER_SYNC {
            let Some(message) = incoming.try_recv() else { break };
            self.admit(message, batch);
        }
    }

    /// Makes the batch durable, then sends what it produced.
    async fn commit(&mut self, batch: Batch, incoming: &mut IncomingQueue) -> Result<(), Error> {
        let mut saved = Ok(());
        if !batch.records.is_empty() {
            let records = batch.records.clone();
            saved = self.on_disk(incoming, move |disk| disk.save(&records)).await?;
            if saved.is_ok() {
                saved = self.write_snapshot_if_due(incoming).await?;
            }
        }
        let outputs = self.host.complete_save(now(), saved, batch);
        self.deliver(outputs);
        Ok(())
    }

    /// The inner result is that of the disk; the outer one fails if its thread has ended.
    async fn write_snapshot_if_due(
        &mut self,
        incoming: &mut IncomingQueue,
    ) -> Result<Result<(), Error>, Error> {
        if !self.disk.as_ref().is_some_and(D::is_snapshot_due) {
            return Ok(Ok(()));
        }
        let Some(keeper) = self.host.keeper() else { return Ok(Ok(())) };
        let store = keeper.store.clone();
        self.on_disk(incoming, move |disk| disk.write_snapshot(&store)).await
    }

    /// Tries to recover the disk of a suspended keeper when it is time to.
    async fn probe(&mut self, incoming: &mut IncomingQueue) -> Result<(), Error> {
        if !self.host.is_probe_due(now()) {
            return Ok(());
        }
        let recovered = self.on_disk(incoming, D::recover).await?;
        let batch = self.host.complete_probe(now(), recovered);
        self.commit(batch, incoming).await
    }

    fn deliver(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // `Batch` has taken the records out.
                Output::Persist(_) => {}
                Output::Send(to, message) => {
                    if let Some(addr) = self.host.keeper().and_then(|keeper| keeper.addr(&to)) {
                        self.peers.send(to, addr, message);
                    }
                }
                Output::Reply(token, reply) => {
                    if let Some(waiting) = self.waiting.remove(&token) {
                        let _ = waiting.send(reply);
                    }
                }
                Output::Log(line) => log::info!(target: "chain", "{line}"),
            }
        }
    }
}
