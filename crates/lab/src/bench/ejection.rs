//! Measures the time from a server's fault to its ejection at one node, with a lookup about every 25 ms.
use super::operator::{inject_fault, primary_name, servers};
use super::print_spread;
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_runtime::now;
use quincehatch_testbed::fleet::ServerAddress;
use quincehatch_testbed::running::RunningFleet;
use quincehatch_wire::http::post_once;
use serde_json::{Value, json};
use std::time::Duration;

const LOOKUP_GAP: Duration = Duration::from_millis(25);
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(4);
/// Time under load before the fault.
const WARM_UP: Duration = Duration::from_millis(1_500);
const STATE_POLL: Duration = Duration::from_millis(5);
/// A fault that is not detected within this time counts as this long, in milliseconds.
const EJECTION_TIMEOUT_MS: u64 = 40_000;
/// The health of an ejected server in the operator API.
const EJECTED: &str = "set-aside";
const PER_MILLE: u64 = 1_000;

/// A fault and the load during it.
struct Case {
    name: &'static str,
    fault: Value,
    /// Share of lookups that run longer than their timeout, per mille.
    long_per_mille: u64,
}

fn cases() -> [Case; 4] {
    let case = |name, fault, long_per_mille| Case { name, fault, long_per_mille };
    [
        case("reset", json!({"reset": true}), 0),
        case("stall (route timeout 3000 ms)", json!({"stall": true}), 0),
        case("stall amid one long query in five", json!({"stall": true}), 200),
        case("hole (route timeout 3000 ms)", json!({"hole": true}), 0),
    ]
}

pub(super) async fn run(fleet: &FleetOptions, rounds: usize) -> Result<(), String> {
    for case in cases() {
        let mut figures = Vec::new();
        for _ in 0..rounds {
            let running = local_fleet::start(fleet).await?;
            figures.push(time_to_ejection(&running, &case).await?);
        }
        print_spread(&format!("{} to ejection", case.name), "ms", figures);
    }
    Ok(())
}

/// Returns the milliseconds from the fault of a replica to its ejection.
async fn time_to_ejection(fleet: &RunningFleet, case: &Case) -> Result<f64, String> {
    let victim = last_replica(fleet).await.ok_or("no replica")?;
    let node = &fleet.plan.nodes[0];
    let load = tokio::spawn(run_lookups(node.client_listener.clone(), case.long_per_mille));
    tokio::time::sleep(WARM_UP).await;
    let began = now();
    inject_fault(&victim.addr, &case.fault).await;
    while !is_ejected(&node.operator_listener, &victim.name).await && now() < began + EJECTION_TIMEOUT_MS {
        tokio::time::sleep(STATE_POLL).await;
    }
    let took_ms = (now() - began) as f64;
    load.abort();
    Ok(took_ms)
}

async fn last_replica(fleet: &RunningFleet) -> Option<ServerAddress> {
    let primary = primary_name(fleet).await;
    let mut from_the_last = fleet.plan.servers.iter().rev();
    from_the_last.find(|server| Some(&server.name) != primary.as_ref()).cloned()
}

/// Sends lookups until the task is aborted.
async fn run_lookups(client_listener: String, long_per_mille: u64) {
    loop {
        let text = if fastrand::u64(..PER_MILLE) < long_per_mille { "sleep 4000" } else { "get x" };
        tokio::spawn(send_lookup(client_listener.clone(), text));
        tokio::time::sleep(LOOKUP_GAP).await;
    }
}

/// The load itself is not measured, so replies and errors are dropped.
async fn send_lookup(client_listener: String, text: &'static str) {
    let body = json!({"text": text, "labels": {"db": "g1"}});
    let _ = post_once(&client_listener, "/v1/lookup", &body, LOOKUP_TIMEOUT).await;
}

async fn is_ejected(operator_listener: &str, server: &str) -> bool {
    let servers = servers(operator_listener).await;
    servers.iter().any(|entry| entry["server"] == server && entry["health"] == EJECTED)
}
