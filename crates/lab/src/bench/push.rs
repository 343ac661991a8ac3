//! Measures the time until a push is acknowledged, for several numbers of nodes.
use super::print_spread;
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_runtime::now;
use quincehatch_testbed::running::RunningFleet;
use quincehatch_testbed::scenario::operator_call;
use quincehatch_testbed::script::with_mark;
use serde_json::json;
use std::time::Duration;

const NODE_COUNTS: [usize; 3] = [3, 6, 12];
const PUSH_TIMEOUT_MS: u64 = 14_000;
const GAP: Duration = Duration::from_millis(300);
const HTTP_OK: u16 = 200;

pub(super) async fn run(fleet: &FleetOptions, rounds: usize) -> Result<(), String> {
    for nodes in NODE_COUNTS {
        let options = FleetOptions { shape: format!("nodes:{nodes}"), ..fleet.clone() };
        let running = local_fleet::start(&options).await?;
        let text = std::fs::read_to_string(&running.plan.configuration).map_err(|error| error.to_string())?;
        let mut figures = Vec::new();
        for round in 0..rounds {
            figures.push(time_push(&running, &text, round).await?);
            tokio::time::sleep(GAP).await;
        }
        print_spread(&format!("push acknowledged, so in force, {nodes} nodes"), "ms", figures);
    }
    Ok(())
}

/// Returns the milliseconds that a push takes; each round uses the next node.
async fn time_push(fleet: &RunningFleet, text: &str, round: usize) -> Result<f64, String> {
    let nodes = &fleet.plan.nodes;
    let node = &nodes[round % nodes.len()];
    let body = json!({"text": with_mark(text, round as u64), "key": format!("b{round}")});
    let began = now();
    let reply = operator_call(&node.operator_listener, "push", &body, PUSH_TIMEOUT_MS).await;
    let took_ms = (now() - began) as f64;
    match reply {
        Some((HTTP_OK, _)) => Ok(took_ms),
        _ => Err("a push was rejected".into()),
    }
}
