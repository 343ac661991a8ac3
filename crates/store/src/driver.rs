//! Runs a [`KeeperHost`] under tokio: the same steps the simulator runs, with a real disk and wire (§5.1).
use crate::disk_port::StableStorage;
use crate::host::{Batch, KeeperHost};
use crate::messages::{KeeperRequest, KeeperResponse, Reply, Request};
use crate::peers::Peers;
use crate::step::{Input, Output};
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_runtime::now;
use quincehatch_wire::{Identity, serve};
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Links that others may have open to this keeper.
const LINKS: usize = 512;
/// Messages that may wait for the keeper.
const WAITING_MAX: usize = 1_024;
/// A keeper that has left the chain stays so long, for its last messages to go out.
const FAREWELL: Millis = 100;
/// Steps that share one sync.
const STEPS_PER_SYNC: usize = 64;
const TICK: Duration = Duration::from_millis(20);
/// A write that lasts longer is a stall: requests are declined until it ends.
const STALL: Duration = Duration::from_millis(500);

/// What a keeper is told by the process it runs in.
pub type InputReceiver = mpsc::Receiver<Input>;

/// A message that came in; a request has somebody who waits for the reply.
enum Incoming {
    Peer(Input),
    Request(Request, oneshot::Sender<Reply>),
}

/// Serves until the keeper has left the chain or `stop` fires.
pub async fn run_keeper<D: StableStorage>(
    host: KeeperHost,
    disk: D,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let (_none, told) = mpsc::channel(1);
    run_keeper_with_inputs(host, disk, listener, stop, told).await
}

pub async fn run_keeper_with_inputs<D: StableStorage>(
    host: KeeperHost,
    disk: D,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    mut told: InputReceiver,
) -> Result<(), Error> {
    let (queue, mut incoming) = mpsc::channel(WAITING_MAX);
    let identity = Identity::new(host.name());
    let accept = accept(listener, identity.clone(), queue.clone());
    let mut driver = Driver::new(host, disk, identity);
    let mut left_at = None;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut batch = Batch::default();
        tokio::select! {
            _ = stop.changed() => break,
            _ = tick.tick() => driver.step(Input::Tick, &mut batch),
            Some(input) = told.recv() => driver.step(input, &mut batch),
            Some(message) = incoming.recv() => driver.admit(message, &mut batch),
        }
        // All that has come meanwhile goes to the disk with it: one sync for many.
        for _ in 0..STEPS_PER_SYNC {
            let Ok(message) = incoming.try_recv() else { break };
            driver.admit(message, &mut batch);
        }
        driver.commit(batch, &mut incoming).await?;
        driver.probe(&mut incoming).await?;
        if driver.host.has_left() && now() >= *left_at.get_or_insert_with(now) + FAREWELL {
            break;
        }
    }
    accept.abort();
    Ok(())
}

/// Takes messages off the wire into the queue.
fn accept(listener: TcpListener, me: Identity, queue: mpsc::Sender<Incoming>) -> JoinHandle<()> {
    tokio::spawn(serve(listener, LINKS, me, move |request: KeeperRequest| {
        let queue = queue.clone();
        async move {
            match request {
                KeeperRequest::Peer { from, message } => {
                    let _ = queue.send(Incoming::Peer(Input::Peer { from, message: message })).await;
                    KeeperResponse::Delivered
                }
                KeeperRequest::Node { request } => {
                    let (reply, replied) = oneshot::channel();
                    let _ = queue.send(Incoming::Request(request, reply)).await;
                    let stopping = || Reply::Rejected {
                        error: ErrorCode::ChainUnavailable.with_detail("the keeper is stopping"),
                    };
                    KeeperResponse::Reply { reply: replied.await.unwrap_or_else(|_| stopping()) }
                }
            }
        }
    }))
}

struct Driver<D> {
    host: KeeperHost,
    /// Away while a write is under way.
    disk: Option<D>,
    peers: Peers,
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
            Incoming::Request(ask, reply) => {
                self.last_token += 1;
                self.waiting.insert(self.last_token, reply);
                Input::Request { token: self.last_token, request: ask }
            }
        };
        self.step(input, batch);
    }

    /// Makes the batch durable, then sends what came out of it.
    async fn commit(&mut self, batch: Batch, incoming: &mut mpsc::Receiver<Incoming>) -> Result<(), Error> {
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

    async fn write_snapshot_if_due(
        &mut self,
        incoming: &mut mpsc::Receiver<Incoming>,
    ) -> Result<Result<(), Error>, Error> {
        if !self.disk.as_ref().is_some_and(D::is_snapshot_due) {
            return Ok(Ok(()));
        }
        let Some(store) = self.host.keeper().map(|keeper| keeper.store.clone()) else { return Ok(Ok(())) };
        self.on_disk(incoming, move |disk| disk.write_snapshot(&store)).await
    }

    /// Tries the disk of a suspended keeper when it is time to.
    async fn probe(&mut self, incoming: &mut mpsc::Receiver<Incoming>) -> Result<(), Error> {
        if !self.host.is_probe_due(now()) {
            return Ok(());
        }
        let probe = self.on_disk(incoming, D::recover).await?;
        let batch = self.host.complete_probe(now(), probe);
        self.commit(batch, incoming).await
    }

    /// Does the work on a thread of its own. Should it stall, requests are declined meanwhile and peers not heard.
    async fn on_disk<T: Send + 'static>(
        &mut self,
        incoming: &mut mpsc::Receiver<Incoming>,
        work: impl FnOnce(&mut D) -> T + Send + 'static,
    ) -> Result<T, Error> {
        let gone = || ErrorCode::DiskFailed.with_detail("the writing thread has ended");
        let mut disk = self.disk.take().ok_or_else(gone)?;
        let mut task = tokio::task::spawn_blocking(move || {
            let result = work(&mut disk);
            (disk, result)
        });
        let stall = tokio::time::sleep(STALL);
        tokio::pin!(stall);
        let mut is_stalled = false;
        let (disk, result) = loop {
            tokio::select! {
                done = &mut task => break done.map_err(|_| gone())?,
                () = &mut stall, if !is_stalled => {
                    is_stalled = true;
                    log::warn!(target: "chain", "the disk has not answered for {} ms", STALL.as_millis());
                    let declined = self.host.reject_pending();
                    self.deliver(declined);
                }
                Some(message) = incoming.recv(), if is_stalled => self.turn_away(message),
            }
        };
        self.host.record_disk_usage(disk.usage());
        self.disk = Some(disk);
        Ok(result)
    }

    fn turn_away(&self, message: Incoming) {
        if let Incoming::Request(request, reply) = message {
            let _ = reply.send(self.host.unavailable_reply(&request));
        }
    }

    fn deliver(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
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
