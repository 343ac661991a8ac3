//! quincehatch-node: a node. Opens its doors, runs until it is told to stop (§2, §4, §6).
mod args;

use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_node::{ClusterNode, client_api, gossip, open_transactions, operator};
use quincehatch_runtime::now;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a stopping node waits for the visits in hand.
const STOP_WITHIN: u64 = 8_000;

fn main() {
    let set = match args::read() {
        Ok(Some(s)) => s,
        Ok(None) => return,
        Err(b) => {
            eprintln!("quincehatch-node: {b}");
            std::process::exit(2);
        }
    };
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(set.threads).enable_all().build();
    let done = rt
        .map_err(|e| ErrorCode::InvalidSettings.with_detail(e))
        .and_then(|rt| rt.block_on(run(set, rt.handle())));
    if let Err(b) = done {
        eprintln!("quincehatch-node: {b}");
        std::process::exit(1);
    }
    // Doors run on threads of their own; all that matters is done.
    std::process::exit(0);
}

async fn run(set: NodeSettings, rt: &tokio::runtime::Handle) -> Result<(), Error> {
    let handle = quincehatch_runtime::logging::start(&set.log)
        .map_err(|e| ErrorCode::InvalidSettings.with_detail(e))?;
    let in_use = |e| ErrorCode::PortInUse.with_detail(format_args!("{}: {e}", set.gossip_listener));
    let lst = tokio::net::TcpListener::bind(&set.gossip_listener).await.map_err(in_use)?;
    let fleet = ClusterNode::new(&set);
    let (node, mesh) = (fleet.proxy.clone(), fleet.gossip.clone());
    let n = node.clone();
    let door: quincehatch_proxy::listener::JsonHandler = Arc::new(move |k| {
        let n = n.clone();
        Box::pin(async move { client_api::answer(&n, k).await })
    });
    let door = quincehatch_proxy::listener::listen(&set.client_listener, set.threads, door, rt)?;
    let f = fleet.clone();
    let at_desk: quincehatch_proxy::listener::JsonHandler = Arc::new(move |k| {
        let f = f.clone();
        Box::pin(async move { operator::answer(&f, k).await })
    });
    let desk = quincehatch_proxy::listener::listen(&set.operator_listener, 1, at_desk, rt)?;
    log::info!(target: "node", "node {} in {} listens on {}", set.name, set.zone, set.client_listener);
    rt.spawn(gossip::serve(fleet.clone(), lst));
    fleet.start();
    args::wait_for_stop(&set, &handle).await;
    log::info!(target: "node", "stopping: no new visits are taken");
    node.registry.stopping.store(true, Ordering::SeqCst);
    // The platform needs a moment to see that this node is not ready; open transactions get theirs.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let until = now() + STOP_WITHIN;
    while now() < until
        && (node.requests_in_flight.load(Ordering::SeqCst) > 0 || open_transactions(&node) > 0)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    quincehatch_node::feed::leave_cluster(&fleet).await;
    mesh.announce_leave().await;
    door.close();
    desk.close();
    log::info!(target: "node", "stopped with {} visits in hand", node.requests_in_flight.load(Ordering::SeqCst));
    Ok(())
}
