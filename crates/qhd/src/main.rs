//! qhd: a node. Puts the planes together (§2, §4, §6).
mod args;
mod chainc;
mod copies;
mod desk;
mod dutyd;
mod feed;
mod groupd;
mod meshd;
mod ops;
mod report;

use qh_core::settings::NodeSettings;
use qh_core::{Breakdown, Code, now};
use qh_data::Node;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The node with its planes.
pub struct Fleet {
    pub node: Arc<Node>,
    pub mesh: Arc<meshd::Net>,
    pub chain: chainc::Chain,
    pub store: std::sync::Mutex<qh_state::Store>,
    pub duty: dutyd::Asked,
}

/// How long a stopping node waits for the visits in hand.
const STOP_WITHIN: u64 = 8_000;

fn main() {
    let set = match args::read() {
        Ok(Some(s)) => s,
        Ok(None) => return,
        Err(b) => {
            eprintln!("qhd: {b}");
            std::process::exit(2);
        }
    };
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(set.threads).enable_all().build();
    let done = rt.map_err(|e| Code::BadSettings.because(e)).and_then(|rt| rt.block_on(run(set, rt.handle())));
    if let Err(b) = done {
        eprintln!("qhd: {b}");
        std::process::exit(1);
    }
    // Doors run on threads of their own; all that matters is done.
    std::process::exit(0);
}

async fn run(set: NodeSettings, rt: &tokio::runtime::Handle) -> Result<(), Breakdown> {
    let handle = qh_core::logs::start(&set.log).map_err(|e| Code::BadSettings.because(e))?;
    let mesh = meshd::Net::open(&set).await?;
    let chain = chainc::Chain::new(&set.keepers);
    let node = Node::new(set.clone(), Box::new(copies::MeshCopies(mesh.clone())), rt.clone());
    let fleet = Arc::new(Fleet {
        node: node.clone(),
        mesh: mesh.clone(),
        chain,
        store: Default::default(),
        duty: Default::default(),
    });
    let n = node.clone();
    let door: qh_data::door::Answerer = Arc::new(move |k| {
        let n = n.clone();
        Box::pin(async move { desk::origin(&n, k).await })
    });
    let door = qh_data::door::open(&set.door, set.threads, door, rt)?;
    let f = fleet.clone();
    let at_desk: qh_data::door::Answerer = Arc::new(move |k| {
        let f = f.clone();
        Box::pin(async move { desk::answer(&f, k).await })
    });
    let desk = qh_data::door::open(&set.desk, 1, at_desk, rt)?;
    log::info!(target: "node", "node {} in {} listens on {}", set.name, set.district, set.door);
    rt.spawn(meshd::run(fleet.clone()));
    rt.spawn(feed::run(fleet.clone()));
    rt.spawn(qh_data::probe::run(node.clone()));
    rt.spawn(dutyd::run(fleet.clone()));
    rt.spawn(sweep(node.clone()));
    args::wait_for_stop(&set, &handle).await;
    log::info!(target: "node", "stopping: no new visits are taken");
    node.board.stopping.store(true, Ordering::SeqCst);
    // The platform needs a moment to see that this node is not ready; open transactions get theirs.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let until = now() + STOP_WITHIN;
    while now() < until && (node.in_hand.load(Ordering::SeqCst) > 0 || open_txns(&node) > 0) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    mesh.leave().await;
    door.close();
    desk.close();
    log::info!(target: "node", "stopped with {} visits in hand", node.in_hand.load(Ordering::SeqCst));
    Ok(())
}

fn open_txns(n: &Node) -> usize {
    n.sessions.all().iter().filter(|s| s.try_lock().map_or(true, |s| s.txn.is_some())).count()
}

/// Housekeeping of sessions and transactions.
async fn sweep(n: Arc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let idle = n.board.plan().blueprint.as_ref().map_or(10_000, |b| b.holding.txn_idle_ms);
        qh_data::txn::sweep(&n, idle);
        n.forget_idle();
    }
}
