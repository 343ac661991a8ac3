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

/// Time in milliseconds for which a keeper that has left the chain continues to run, so that its last messages are
/// sent.
const SHUTDOWN_DELAY_AFTER_LEAVE: Millis = 100;
/// Maximum number of queued messages that are handled before one sync of the disk.
const MAX_MESSAGES_PER_SYNC: usize = 64;
/// Interval between two ticks of the keeper.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Receives inputs from the process in which the keeper runs.
pub type InputReceiver = mpsc::Receiver<Input>;

/// Runs a keeper until it has left the chain or `stop` changes.
///
/// # Errors
/// If the storage thread ends unexpectedly. Errors of the disk itself only suspend the keeper.
pub async fn run_keeper<D: StableStorage>(
    host: KeeperHost,
    disk: D,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let (_sender, no_inputs) = mpsc::channel(1);
    run_keeper_with_inputs(host, disk, listener, stop, no_inputs).await
}

/// Runs a keeper as [`run_keeper`] does, and also processes inputs from the process.
///
/// # Errors
/// The same as for [`run_keeper`].
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
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut batch = Batch::default();
        tokio::select! {
            _ = stop.changed() => break,
            _ = tick.tick() => driver.step(Input::Tick, &mut batch),
            Some(input) = inputs.recv() => driver.step(input, &mut batch),
            Some(message) = incoming.recv() => driver.handle_message(message, &mut batch),
        }
        driver.handle_queued_messages(&mut incoming, &mut batch);
        driver.commit(batch, &mut incoming).await?;
        driver.probe(&mut incoming).await?;
        if driver.host.is_ready_to_stop()
            && now() >= *left_at.get_or_insert_with(now) + SHUTDOWN_DELAY_AFTER_LEAVE
        {
            break;
        }
    }
    server.abort();
    Ok(())
}

struct Driver<D> {
    host: KeeperHost,
    /// `None` while an operation runs on the storage thread.
    disk: Option<D>,
    peers: Peers,
    /// Reply channels of the pending requests, by the token of the request.
    pending_replies: HashMap<u64, oneshot::Sender<Reply>>,
    last_token: u64,
}

impl<D: StableStorage> Driver<D> {
    fn new(mut host: KeeperHost, disk: D, identity: Identity) -> Self {
        host.record_disk_usage(disk.usage());
        let peers = Peers::new(identity);
        Self { host, disk: Some(disk), peers, pending_replies: HashMap::new(), last_token: 0 }
    }

    fn step(&mut self, input: Input, batch: &mut Batch) {
        self.host.step(now(), input, batch);
    }

    fn handle_message(&mut self, message: Incoming, batch: &mut Batch) {
        let input = match message {
            Incoming::Peer(input) => input,
            Incoming::Request(request, reply_to) => {
                self.last_token += 1;
                self.pending_replies.insert(self.last_token, reply_to);
                Input::Request { token: self.last_token, request }
            }
        };
        self.step(input, batch);
    }

    /// Handles the messages that are already queued, so that all of them share one sync of the disk.
    fn handle_queued_messages(&mut self, incoming: &mut IncomingQueue, batch: &mut Batch) {
        for _ in 0..MAX_MESSAGES_PER_SYNC {
            let Some(message) = incoming.try_recv() else { break };
            self.handle_message(message, batch);
        }
    }

    /// Makes the records of the batch durable, then sends its outputs.
    async fn commit(&mut self, batch: Batch, incoming: &mut IncomingQueue) -> Result<(), Error> {
        let mut saved = Ok(());
        if !batch.records.is_empty() {
            let records = batch.records.clone();
            saved = self.run_on_disk(incoming, move |disk| disk.save(&records)).await?;
            if saved.is_ok() {
                saved = self.write_snapshot_if_due(incoming).await?;
            }
        }
        let outputs = self.host.complete_save(now(), saved, batch);
        self.deliver(outputs);
        Ok(())
    }

    /// Writes a snapshot if one is due. The inner result is that of the disk; the outer result is an error if the
    /// storage thread has ended.
    async fn write_snapshot_if_due(
        &mut self,
        incoming: &mut IncomingQueue,
    ) -> Result<Result<(), Error>, Error> {
        if !self.disk.as_ref().is_some_and(D::is_snapshot_due) {
            return Ok(Ok(()));
        }
        let Some(keeper) = self.host.keeper() else { return Ok(Ok(())) };
        let store = keeper.store.clone();
        self.run_on_disk(incoming, move |disk| disk.write_snapshot(&store)).await
    }

    /// Tries to recover the disk of a suspended keeper if the next attempt is due.
    async fn probe(&mut self, incoming: &mut IncomingQueue) -> Result<(), Error> {
        if !self.host.is_probe_due(now()) {
            return Ok(());
        }
        let recovered = self.run_on_disk(incoming, D::recover).await?;
        let batch = self.host.complete_probe(now(), recovered);
        self.commit(batch, incoming).await
    }

    fn deliver(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // Records were separated from the other outputs by `Batch`.
                Output::Persist(_) => {}
                Output::Send(to, message) => {
                    if let Some(addr) = self.host.keeper().and_then(|keeper| keeper.addr(&to)) {
                        self.peers.send(to, addr, message);
                    }
                }
                Output::Reply(token, reply) => {
                    if let Some(reply_sender) = self.pending_replies.remove(&token) {
                        let _ = reply_sender.send(reply);
                    }
                }
                Output::Log(line) => log::info!(target: "chain", "{line}"),
            }
        }
    }
}
