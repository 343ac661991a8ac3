//! A keeper in the simulator: the real [`Keeper`] with a disk that is what was synced (§5.7).
use super::core::{ProcessId, Simulation};
use super::net::Net;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_store::compression::PackedText;
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::record::{Record, RecoveredState};
use quincehatch_store::{FeedSnapshot, Keeper, KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_wire::{Identity, Received};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

pub type Disk = Arc<Mutex<RecoveredState>>;

struct Proc {
    k: Keeper,
    disk: Disk,
    waits: BTreeMap<u64, oneshot::Sender<Reply>>,
    token: u64,
    told: Millis,
}

/// What all keepers of a run committed, so that one that serves with less is seen (§1 N10).
#[derive(Default)]
pub struct Watch {
    committed: u64,
    pub breaches: Vec<String>,
}

/// Where keepers are found: name to process.
pub struct KeeperRegistry {
    pub process_by_name: Mutex<BTreeMap<Name, ProcessId>>,
    pub commit_watch: Mutex<Watch>,
}

pub fn start_keeper(
    core: &Arc<Simulation>,
    pid: ProcessId,
    name: &Name,
    addr: &str,
    disk: &Disk,
    all: &Arc<KeeperRegistry>,
) {
    let k = Keeper::new(name.clone(), now(), disk.lock().unwrap().clone());
    let (waits, token, told) = (BTreeMap::new(), 0, 0);
    let p = Arc::new(Mutex::new(Proc { k, disk: disk.clone(), waits, token, told }));
    let step = {
        let (core, all) = (core.clone(), all.clone());
        move |p: &Arc<Mutex<Proc>>, i: Input| step(&core, pid, &all, p, i)
    };
    let (q, s, a) = (p.clone(), step.clone(), all.clone());
    let on_peer = move |from: ProcessId, m| {
        let name = a.process_by_name.lock().unwrap().iter().find(|x| *x.1 == from).map(|x| x.0.clone());
        if let Some(from) = name {
            s(&q, Input::Peer { from, message: m });
        }
    };
    core.lock().network.peer.insert(pid, Arc::new(on_peer));
    let (q, s, c, me) = (p.clone(), step.clone(), core.clone(), Identity::new(name));
    core.listen_frames(
        addr,
        pid,
        Arc::new(move |bytes| {
            let (call, ask) = match quincehatch_wire::receive::<KeeperRequest>(&me, &bytes) {
                Ok(Received::Request { call, request: KeeperRequest::Node { request } }) => (call, request),
                Ok(Received::Rejected(frame)) => return Box::pin(async { Some(frame) }),
                _ => return Box::pin(async { None }),
            };
            let (tx, rx) = oneshot::channel();
            // The bug: a tail hands its store out without asking whether it may.
            let stale = matches!(ask, Request::Feed { .. })
                && c.has_bug("stale-tail")
                && q.lock().unwrap().k.is_tail();
            if stale {
                let store = &q.lock().unwrap().k.store;
                let text = PackedText::pack(store.configuration().map_or("", |k| &k.text));
                let told = Box::new(FeedSnapshot::from_store(store, text));
                let _ = tx.send(Reply::Snapshot { snapshot: told, lease_ms: 4_000 });
            } else {
                let mut x = q.lock().unwrap();
                x.token += 1;
                let token = x.token;
                x.waits.insert(token, tx);
                drop(x);
                s(&q, Input::Request { token, request: ask });
            }
            let me = me.clone();
            Box::pin(async move {
                let answer = KeeperResponse::Reply { reply: rx.await.ok()? };
                quincehatch_wire::encode_answer_frame::<KeeperRequest>(&me, call, &answer).ok()
            })
        }),
    );
    seam::spawn(async move {
        loop {
            seam::sleep(Duration::from_millis(20)).await;
            step(&p, Input::Tick);
        }
    });
}

fn sync(disk: &Disk, r: &Record, forgets: bool) {
    let mut d = disk.lock().unwrap();
    match r {
        Record::Acceptor { acceptor } => d.acceptor = acceptor.clone(),
        Record::View { view } => d.view = view.clone(),
        Record::Served { version } => d.served_version = *version,
        Record::CatchingUp { catching_up } => d.catching_up = *catching_up,
        Record::Snapshot { store } => {
            d.store = store.as_ref().clone();
            d.log.clear();
        }
        // The bug: entries are called synced and are not.
        Record::Entry { .. } if forgets => {}
        Record::Entry { entry } => {
            d.store.apply(&entry.unpack().expect("an entry that was packed here"));
            d.log.push_back(entry.clone());
        }
    }
}

fn step(core: &Arc<Simulation>, pid: ProcessId, all: &KeeperRegistry, p: &Arc<Mutex<Proc>>, i: Input) {
    let mut x = p.lock().unwrap();
    let outs = x.k.step(now(), i);
    // A crash in the midst: all of the step is lost, or it is synced and nothing of it is sent.
    let (fate, faulty) = {
        let mut m = core.lock();
        (m.rng.below(100_000), m.crashes_enabled)
    };
    let doomed = faulty && fate < 4;
    if !doomed || fate >= 2 {
        for o in &outs {
            if let Output::Persist(r) = o {
                sync(&x.disk, r, core.has_bug("unsynced"));
            }
        }
    }
    if doomed {
        drop(x);
        return core.crash_and_restart(pid);
    }
    let mut replies = Vec::new();
    for o in outs {
        match o {
            Output::Send(to, m) => {
                let to = all.process_by_name.lock().unwrap().get(&to).copied();
                if let Some(to) = to {
                    core.lock().send(pid, to, Net::Peer(m));
                }
            }
            Output::Reply(t, rep) => replies.extend(x.waits.remove(&t).map(|tx| (tx, rep))),
            Output::Log(s) => core.log(&format!("{}: {s}", x.k.name)),
            Output::Persist(_) => {}
        }
    }
    if core.verbose && x.told + 1_000 < now() {
        x.told = now();
        let s = x.k.status();
        core.log(&format!(
            "{} n {} committed {} in force {} {}",
            s.name, s.last_change, s.committed, s.in_force, s.reason
        ));
    }
    let (serving, n, committed) = (x.k.is_serving(), x.k.store.last_change, x.k.committed);
    let (name, view) = (x.k.name.clone(), x.k.view.version);
    drop(x);
    let mut w = all.commit_watch.lock().unwrap();
    if serving && n < w.committed && w.breaches.len() < 20 {
        let s = format!(
            "N10 at {} {name} serves view {view} at {n} while {} was committed",
            core.now(),
            w.committed
        );
        w.breaches.push(s);
    }
    w.committed = w.committed.max(committed);
    drop(w);
    replies.into_iter().for_each(|(tx, rep)| drop(tx.send(rep)));
}
