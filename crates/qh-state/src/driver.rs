//! Runs a [`Keeper`] under tokio: the same steps the simulator runs, with a real disk and wire (§5.1).
use crate::disk::Disk;
use crate::keeper::{Input, Keeper, Output, Record};
use crate::messages::{KeeperRequest, KeeperResponse, PeerMessage, Reply};
use qh_core::wire::{Caller, Destination, Identity, serve};
use qh_core::{Code, Error, Ms, Name, now};
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

type Door = (Input, Option<oneshot::Sender<Reply>>);

/// Messages that may wait for one peer; the oldest is dropped first, the protocol sends again.
const PEER_HOLD: usize = 256;
const LINKS: usize = 512;
/// A keeper that has left the chain stays so long, for its last messages to go out.
const FAREWELL: Ms = 100;
/// Steps that share one sync.
const TOGETHER: usize = 64;

/// A peer that does not take a message in this time is given up; the protocol sends again.
const PEER_WITHIN: Duration = Duration::from_millis(500);

/// Sends to other keepers, to each in order.
struct Peers {
    me: Identity,
    to: HashMap<(Name, Name), mpsc::Sender<PeerMessage>>,
}

impl Peers {
    fn send(&mut self, name: Name, addr: Name, m: PeerMessage) {
        let me = self.me.clone();
        let to = self.to.entry((name.clone(), addr.clone())).or_insert_with(|| {
            let (to, waiting) = mpsc::channel::<PeerMessage>(PEER_HOLD);
            tokio::spawn(deliver(me, name, addr, waiting));
            to
        });
        let _ = to.try_send(m);
    }
}

/// Brings messages to one peer, one after the other.
async fn deliver(me: Identity, name: Name, addr: Name, mut waiting: mpsc::Receiver<PeerMessage>) {
    let from = me.name().clone();
    let caller = Caller::new(me);
    while let Some(m) = waiting.recv().await {
        // Seeds are known by their address alone; everything else is for the keeper of that very name.
        let to = match m {
            PeerMessage::Discover { .. } => Destination::address(&addr),
            _ => Destination::process(&name, &addr),
        };
        let request = KeeperRequest::Peer { from: from.clone(), m };
        let _ = caller.call(to, &request, PEER_WITHIN).await;
    }
}

/// What a keeper is told by the process it runs in.
pub type Inputs = mpsc::Receiver<Input>;

/// Serves until it has left the chain, `stop` fires or the disk breaks.
pub async fn run(
    k: Keeper,
    disk: Disk,
    lst: TcpListener,
    stop: tokio::sync::watch::Receiver<bool>,
) -> Result<(), Error> {
    let (_none, told) = mpsc::channel(1);
    run_told(k, disk, lst, stop, told).await
}

/// Syncs on this thread; other tasks go on meanwhile where there are threads for them.
fn blocking<T>(f: impl FnOnce() -> T) -> T {
    match tokio::runtime::Handle::current().runtime_flavor() {
        tokio::runtime::RuntimeFlavor::CurrentThread => f(),
        _ => tokio::task::block_in_place(f),
    }
}

pub async fn run_told(
    mut k: Keeper,
    mut disk: Disk,
    lst: TcpListener,
    mut stop: tokio::sync::watch::Receiver<bool>,
    mut told: Inputs,
) -> Result<(), Error> {
    let (tx, mut rx) = mpsc::channel::<Door>(1024);
    let door = tx.clone();
    let me = Identity::new(&k.me);
    let accept = tokio::spawn(serve(lst, LINKS, me.clone(), move |k: KeeperRequest| {
        let door = door.clone();
        async move {
            match k {
                KeeperRequest::Peer { from, m } => {
                    let _ = door.send((Input::Peer { from, m }, None)).await;
                    KeeperResponse::Taken
                }
                KeeperRequest::Node { ask } => {
                    let (t, r) = oneshot::channel();
                    let _ = door.send((Input::Request { token: 0, ask }, Some(t))).await;
                    let gone = || Reply::Declined { why: Code::ChainDown.because("the keeper is stopping") };
                    KeeperResponse::Reply { rep: r.await.unwrap_or_else(|_| gone()) }
                }
            }
        }
    }));
    let mut peers = Peers { me, to: HashMap::new() };
    let mut waits: HashMap<u64, oneshot::Sender<Reply>> = HashMap::new();
    let mut token = 0;
    // When a leave was over.
    let mut left = None;
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut numbered = |(i, t): Door| match (i, t) {
            (Input::Request { ask, .. }, Some(t)) => {
                token += 1;
                waits.insert(token, t);
                Input::Request { token, ask }
            }
            (i, _) => i,
        };
        let i = tokio::select! {
            _ = stop.changed() => break,
            _ = tick.tick() => Input::Tick,
            Some(i) = told.recv() => i,
            Some(d) = rx.recv() => numbered(d),
        };
        let mut outs = k.step(now(), i);
        // All that has come meanwhile goes to the disk with it: one sync for many.
        for _ in 0..TOGETHER {
            let Ok(d) = rx.try_recv() else { break };
            outs.extend(k.step(now(), numbered(d)));
        }
        let recs: Vec<Record> = outs
            .iter()
            .filter_map(|o| match o {
                Output::Persist(r) => Some(r.clone()),
                _ => None,
            })
            .collect();
        if !recs.is_empty() {
            blocking(|| disk.save(&recs).and_then(|()| disk.compact(&k.store)))?;
        }
        for o in outs {
            match o {
                Output::Persist(_) => {}
                Output::Send(to, m) => {
                    if let Some(addr) = k.addr(&to) {
                        peers.send(to, addr, m);
                    }
                }
                Output::Reply(t, rep) => {
                    waits.remove(&t).map(|w| w.send(rep));
                }
                Output::Say(s) => log::info!(target: "chain", "{s}"),
            }
        }
        if k.has_left() && now() >= *left.get_or_insert_with(now) + FAREWELL {
            break;
        }
    }
    accept.abort();
    Ok(())
}
