//! The `quincehatch-node` process: opens the node's listeners and runs until a stop signal arrives.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]
mod arguments;
mod settings_watch;

use arguments::Invocation;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_node::{Node, client_api, feed, open_transactions, operator, peer_service};
use quincehatch_proxy::listener::{JsonHandler, ListenerHandle, listen};
use quincehatch_runtime::now;
use quincehatch_runtime::signals::ProcessSignals;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;

/// Longest time that a stopping node waits for requests and transactions in flight, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 8_000;
/// Time between the node's readiness check starting to fail and the wait for requests in flight, so that the platform
/// notices and sends no new clients.
const READINESS_PROPAGATION_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a stopping node checks for requests and transactions in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of threads of the operator listener.
const OPERATOR_THREADS: usize = 1;

const EXIT_FAILURE: i32 = 1;
/// Exit status for an invalid command line or settings file.
const EXIT_INVALID_SETTINGS: i32 = 2;

fn main() {
    let settings = match arguments::read() {
        Ok(Invocation::Run(settings)) => settings,
        Ok(Invocation::Check) => {
            println!("the settings are valid");
            return;
        }
        Ok(Invocation::Printed) => return,
        Err(error) => {
            eprintln!("quincehatch-node: {error}");
            exit(EXIT_INVALID_SETTINGS);
        }
    };
    if let Err(error) = run_until_stopped(&settings) {
        eprintln!("quincehatch-node: {error}");
        exit(EXIT_FAILURE);
    }
    // Ends the listeners' threads without joining them.
    exit(0);
}

fn run_until_stopped(settings: &NodeSettings) -> Result<(), Error> {
    let threads = settings.threads;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let runtime = runtime.map_err(|error| ErrorCode::InvalidSettings.with_detail(error))?;
    runtime.block_on(run(settings, runtime.handle()))
}

async fn run(settings: &NodeSettings, runtime: &Handle) -> Result<(), Error> {
    let log = quincehatch_runtime::logging::start(&settings.log)
        .map_err(|error| ErrorCode::InvalidSettings.with_detail(error))?;
    let signals = ProcessSignals::install().map_err(|error| ErrorCode::InvalidSettings.with_detail(error))?;
    let gossip_listener = bind(&settings.gossip_listener).await?;
    let node = Node::new(settings);
    let client_listener = open_client_listener(&node, settings, runtime)?;
    let operator_listener = open_operator_listener(&node, settings, runtime)?;
    log::info!(
        target: "node",
        "node {} in {} listens on {}",
        settings.name, settings.zone, settings.client_listener
    );
    runtime.spawn(peer_service::serve(node.clone(), gossip_listener));
    node.start();
    settings_watch::wait_for_stop(settings, &log, signals).await;
    shut_down(&node).await;
    client_listener.close();
    operator_listener.close();
    let in_flight = node.proxy.requests_in_flight.load(Ordering::SeqCst);
    log::info!(target: "node", "stopped with {in_flight} requests in flight");
    Ok(())
}

async fn bind(address: &str) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| ErrorCode::PortInUse.with_detail(format_args!("{address}: {error}")))
}

fn open_client_listener(
    node: &Arc<Node>,
    settings: &NodeSettings,
    runtime: &Handle,
) -> Result<ListenerHandle, Error> {
    let proxy = node.proxy.clone();
    let handler: JsonHandler = Arc::new(move |request| {
        let proxy = proxy.clone();
        Box::pin(async move { client_api::answer(&proxy, request).await })
    });
    listen(&settings.client_listener, settings.threads, handler, runtime)
}

fn open_operator_listener(
    node: &Arc<Node>,
    settings: &NodeSettings,
    runtime: &Handle,
) -> Result<ListenerHandle, Error> {
    let node = node.clone();
    let handler: JsonHandler = Arc::new(move |request| {
        let node = node.clone();
        Box::pin(async move { operator::answer(&node, request).await })
    });
    listen(&settings.operator_listener, OPERATOR_THREADS, handler, runtime)
}

/// Shuts the node down gracefully: its readiness check fails, requests and transactions in flight may finish within
/// [`STOP_TIMEOUT_MS`], then the node leaves the cluster.
async fn shut_down(node: &Arc<Node>) {
    log::info!(target: "node", "stopping: new requests are rejected");
    node.begin_shutdown();
    tokio::time::sleep(READINESS_PROPAGATION_DELAY).await;
    let deadline = now() + STOP_TIMEOUT_MS;
    while now() < deadline && has_work(node) {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    feed::leave_cluster(node).await;
    node.gossip.announce_leave_and_wait().await;
}

fn has_work(node: &Node) -> bool {
    node.proxy.requests_in_flight.load(Ordering::SeqCst) > 0 || open_transactions(&node.proxy) > 0
}
