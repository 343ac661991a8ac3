//! Measures lookups during slow or failing replicas: wrong ejections of replicas, and failed lookups.
use super::operator::{inject_fault, primary_name, servers};
use super::print_spread;
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_wire::http::post_once;
use serde_json::json;
use std::time::Duration;

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(9);
/// Number of lookups of one run, and the time between them.
const LOOKUPS: usize = 400;
const GAP_MS: u64 = 25;
const HTTP_OK: u16 = 200;

/// The results of a series of lookups.
struct LookupCounts {
    answered: usize,
    failed: usize,
}

/// Sends lookups at an even pace and waits for all of them.
async fn send_lookups(client_listener: &str, text: &'static str, count: usize, gap_ms: u64) -> LookupCounts {
    let mut tasks = Vec::new();
    for index in 0..count {
        let delay = Duration::from_millis(index as u64 * gap_ms);
        tasks.push(tokio::spawn(send_later(client_listener.to_owned(), text, delay)));
    }
    let mut answered = 0;
    for task in tasks {
        answered += usize::from(task.await.unwrap_or(false));
    }
    LookupCounts { answered, failed: count - answered }
}

/// Sends a lookup after a delay and returns whether it succeeded.
async fn send_later(client_listener: String, text: &'static str, delay: Duration) -> bool {
    tokio::time::sleep(delay).await;
    let body = json!({"text": text, "labels": {"db": "g1"}});
    let reply = post_once(&client_listener, "/v1/lookup", &body, LOOKUP_TIMEOUT).await;
    matches!(reply, Ok((HTTP_OK, _)))
}

/// Returns the number of ejections of servers at a node.
async fn ejections(operator_listener: &str) -> u64 {
    servers(operator_listener).await.iter().filter_map(|server| server["ejections"].as_u64()).sum()
}

/// Counts wrong ejections of replicas by long queries next to short ones, on a route that is not `long_running`.
pub(super) async fn run_long_queries(fleet: &FleetOptions, rounds: usize) -> Result<(), String> {
    for (name, every) in [("one long in twenty", 20), ("one long in five", 5)] {
        let mut figures = Vec::new();
        for _ in 0..rounds {
            let running = local_fleet::start(fleet).await?;
            let node = &running.plan.nodes[0];
            let listener = &node.client_listener;
            let long = send_lookups(listener, "sleep 4000", LOOKUPS / every, GAP_MS * every as u64);
            let short = send_lookups(listener, "get x", LOOKUPS, GAP_MS);
            let (long, short) = tokio::join!(long, short);
            let ejected = ejections(&node.operator_listener).await;
            println!(
                "  {name}: {} long past their timeout, {} short answered, {} not, {ejected} ejections",
                long.failed, short.answered, short.failed
            );
            figures.push(ejected as f64);
        }
        print_spread(&format!("wrong ejections, {name}"), "", figures);
    }
    Ok(())
}

/// Measures the share of lookups that fail when every replica stalls at once, until the primary serves them.
pub(super) async fn run_all_replicas_stalled(fleet: &FleetOptions, rounds: usize) -> Result<(), String> {
    let mut lost_percent = Vec::new();
    for _ in 0..rounds {
        let running = local_fleet::start(fleet).await?;
        let primary = primary_name(&running).await.unwrap_or_default();
        for server in running.plan.servers.iter().filter(|server| server.name != primary) {
            inject_fault(&server.addr, &json!({"stall": true})).await;
        }
        let counts = send_lookups(&running.plan.nodes[0].client_listener, "get x", LOOKUPS, GAP_MS).await;
        println!("  {} answered, {} not", counts.answered, counts.failed);
        lost_percent.push(100.0 * counts.failed as f64 / LOOKUPS as f64);
    }
    print_spread("lookups lost in 10 s of all replicas stalled", "%", lost_percent);
    Ok(())
}
