//! Operator calls of the benchmarks to nodes, and fault injection into stand-in servers.
use quincehatch_testbed::running::RunningFleet;
use quincehatch_testbed::scenario::operator_call;
use quincehatch_wire::http::post_once;
use serde_json::{Value, json};
use std::time::Duration;

const STATUS_TIMEOUT_MS: u64 = 2_000;
const SERVERS_TIMEOUT_MS: u64 = 2_000;
const FAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the name of the first group's primary according to the first node.
pub(super) async fn primary_name(fleet: &RunningFleet) -> Option<String> {
    let listener = &fleet.plan.nodes[0].operator_listener;
    let (_status, reply) = operator_call(listener, "status", &json!({}), STATUS_TIMEOUT_MS).await?;
    reply["primaries"][0]["server"].as_str().map(str::to_owned)
}

/// Returns a node's view of the servers.
pub(super) async fn servers(operator_listener: &str) -> Vec<Value> {
    let reply = operator_call(operator_listener, "servers", &json!({}), SERVERS_TIMEOUT_MS).await;
    match reply {
        Some((_status, body)) => body["servers"].as_array().cloned().unwrap_or_default(),
        None => Vec::new(),
    }
}

/// Injects a fault into a stand-in server. A missing reply is ignored, because the fault may already prevent it.
pub(super) async fn inject_fault(server_addr: &str, fault: &Value) {
    let _ = post_once(server_addr, "/lab/fault", fault, FAULT_TIMEOUT).await;
}
