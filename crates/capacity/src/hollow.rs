//! A fleet of hollow nodes in one process over real loopback sockets: one thread a keeper, one for all nodes, so that
//! the kernel's account tells the roles apart (§9.6).
use super::port::Hollow;
use super::{COPIES, blueprint, resident_kib, settings, standing, this_thread, used_ms};
use quincehatch_core::Name;
use quincehatch_node::store_client::StoreClient;
use quincehatch_node::{ClusterNode, gossip};
use quincehatch_runtime::{now, seam};
use quincehatch_store::host::KeeperHost;
use quincehatch_store::storage::disk::{Disk, OpenedDisk};
use quincehatch_store::{Command, Keeper, View, Voter, driver};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

#[derive(Clone, Debug)]
pub struct Spec {
    pub nodes: usize,
    pub groups: usize,
    pub keepers: usize,
    /// Standings written a second while it is measured.
    pub changes: usize,
    pub seconds: u64,
}

const BEGIN: Duration = Duration::from_secs(120);
/// How long nodes are given to hear of each other once the leads are named.
const MEET: Duration = Duration::from_secs(25);

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// One keeper on a thread of its own; the thread's account.
fn keeper(dir: &Path, name: &str, view: &View, lst: std::net::TcpListener) -> PathBuf {
    let (tx, rx) = mpsc::channel();
    let (dir, name, view) = (dir.join(name), name.to_owned(), view.clone());
    std::thread::spawn(move || {
        let _ = tx.send(this_thread());
        runtime().block_on(async {
            let _ = std::fs::create_dir_all(&dir);
            let Ok(OpenedDisk { disk, state: found, .. }) = Disk::open(&dir, &name, Some(view)) else {
                return;
            };
            let Ok(lst) = TcpListener::from_std(lst) else { return };
            let (_stop, stopped) = tokio::sync::watch::channel(false);
            let me = Name::from(name.as_str());
            let host = KeeperHost::new(
                found,
                now(),
                Box::new(move |state, now| Keeper::new(me.clone(), now, state)),
            );
            let _ = driver::run_keeper(host, disk, lst, stopped).await;
        });
    });
    rx.recv().unwrap_or_default()
}

fn bind() -> std::io::Result<(String, std::net::TcpListener)> {
    let l = std::net::TcpListener::bind("127.0.0.1:0")?;
    l.set_nonblocking(true)?;
    Ok((l.local_addr()?.to_string(), l))
}

type Fleets = Arc<Mutex<Vec<Arc<ClusterNode>>>>;

/// All nodes on one thread.
fn nodes(s: &Spec, keepers: &[String], ports: &Hollow) -> std::io::Result<(PathBuf, Fleets)> {
    let at = (0..s.nodes).map(|_| bind()).collect::<std::io::Result<Vec<_>>>()?;
    let seeds: Vec<String> = at.iter().take(3).map(|a| a.0.clone()).collect();
    let (tx, rx) = mpsc::channel();
    let (keepers, ports, fleets) = (keepers.to_vec(), ports.clone(), Fleets::default());
    let made = fleets.clone();
    std::thread::spawn(move || {
        runtime().block_on(async {
            for (i, (addr, lst)) in at.into_iter().enumerate() {
                let f = ClusterNode::with_ports(
                    &settings(i, addr, seeds.clone(), keepers.clone()),
                    Some(ports.ports()),
                );
                if let Ok(lst) = TcpListener::from_std(lst) {
                    seam::spawn(gossip::serve(f.clone(), lst));
                }
                f.start();
                made.lock().unwrap().push(f);
            }
            let _ = tx.send(this_thread());
            std::future::pending::<()>().await;
        });
    });
    Ok((rx.recv().unwrap_or_default(), fleets))
}

async fn write(c: &StoreClient, key: String, cmd: Command) -> Result<(), String> {
    c.write(&key, cmd, Duration::from_secs(10)).await.map(drop).map_err(|b| b.to_string())
}

/// The fleet as it is in service: blueprint in force, servers known, leads named, everyone known to everyone.
async fn begin(s: &Spec, c: &Arc<StoreClient>, fleets: &Fleets) -> Result<(), String> {
    let (text, by) = (blueprint(s.groups, 0), Name::from("operator"));
    write(c, "plan".into(), Command::PushConfiguration { base: 0, text, by }).await?;
    let all: Vec<usize> = (0..s.groups * COPIES).collect();
    for some in all.chunks(16) {
        let one = |i: usize| {
            let c = c.clone();
            async move { write(&c, format!("beat/{i}/1"), Command::RegisterServer { at: standing(i, 1) }).await }
        };
        seam::join_all(some.iter().map(|i| one(*i))).await.into_iter().collect::<Result<Vec<_>, _>>()?;
    }
    let (until, groups, n) = (std::time::Instant::now() + BEGIN, s.groups, s.nodes);
    let led = |f: &Arc<ClusterNode>| f.feed_state.lock().unwrap().primaries.len() >= groups;
    let met = |f: &Arc<ClusterNode>| f.gossip.live_nodes().len() == n;
    // Not every fleet comes to know all of itself: how far it came is among the figures.
    let enough = std::time::Instant::now() + MEET;
    let ready = |f: &Arc<ClusterNode>| led(f) && (met(f) || std::time::Instant::now() > enough);
    while !fleets.lock().unwrap().iter().all(ready) {
        if std::time::Instant::now() > until {
            let of = |f: &Arc<ClusterNode>| {
                (f.feed_state.lock().unwrap().primaries.len(), f.gossip.live_nodes().len())
            };
            let seen: Vec<_> = fleets.lock().unwrap().iter().map(of).collect();
            return Err(format!("not in service; leads and nodes known at each node: {seen:?}"));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Runs one fleet and tells what each role used.
pub fn run(s: &Spec, dir: &Path) -> Result<Value, String> {
    let said = |e: std::io::Error| e.to_string();
    let at = (0..s.keepers).map(|_| bind()).collect::<std::io::Result<Vec<_>>>().map_err(said)?;
    let name = |i: usize| Name::from(format!("k{i}"));
    let machines =
        at.iter().enumerate().map(|(i, a)| Voter { name: name(i), addr: a.0.as_str().into() }).collect();
    let view = View { version: 1, members: (0..s.keepers).map(name).collect(), voters: machines };
    let addrs: Vec<String> = at.iter().map(|a| a.0.clone()).collect();
    let ks: Vec<PathBuf> =
        at.into_iter().enumerate().map(|(i, a)| keeper(dir, &name(i), &view, a.1)).collect();
    let ports = Hollow::default();
    std::thread::sleep(Duration::from_millis(1_500));
    let had = resident_kib();
    let (nodes, fleets) = nodes(s, &addrs, &ports).map_err(said)?;
    runtime().block_on(async {
        let chain = Arc::new(StoreClient::new("node", &addrs));
        begin(s, &chain, &fleets).await?;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let used = || (used_ms(&nodes), ks.iter().map(|k| used_ms(k)).collect::<Vec<_>>());
        let letters = || {
            fleets
                .lock()
                .unwrap()
                .iter()
                .map(|f| f.gossip.membership.lock().unwrap().messages_sent)
                .sum::<u64>()
        };
        let (a, sent, asked, began) = (used(), letters(), ports.0.load(Ordering::Relaxed), now());
        let mut n = 0u64;
        while now() < began + s.seconds * 1_000 {
            if s.changes == 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            n += 1;
            let due = began + n * 1_000 / s.changes as u64;
            tokio::time::sleep(Duration::from_millis(due.saturating_sub(now()))).await;
            let at = quincehatch_core::ServerRecord {
                slots: 5 + (n % 2) as u32,
                ..standing(n as usize % 3, 10 + n)
            };
            write(&chain, format!("beat/c/{n}"), Command::RegisterServer { at }).await?;
        }
        let (b, took) = (used(), (now() - began) as f64 / 1_000.0);
        let per = |x: f64| x / took;
        let keepers: Vec<f64> = a.1.iter().zip(&b.1).map(|(a, b)| per(b - a)).collect();
        let of = s.nodes as f64;
        let kib = (resident_kib() - had) / of;
        let asks = (ports.0.load(Ordering::Relaxed) - asked) as f64;
        let met = fleets.lock().unwrap().iter().map(|f| f.gossip.live_nodes().len()).min();
        Ok(json!({
            "least_known": met,
            "nodes": s.nodes, "groups": s.groups, "changes": n as f64 / took, "seconds": took,
            "node_ms": per(b.0 - a.0) / of, "thread_ms": per(b.0 - a.0), "node_kib": kib,
            "letters": per((letters() - sent) as f64) / of, "status": per(asks) / of,
            "head_ms": keepers.first(), "tail_ms": keepers.last(),
        }))
    })
}
