//! Measures the gossip messages that a node sends per second, for doubling numbers of nodes.
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_runtime::now;
use quincehatch_testbed::scenario::operator_call;
use serde_json::json;
use std::time::Duration;

const NODE_COUNTS: [usize; 4] = [3, 6, 12, 24];
const WARM_UP: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(10);
const NODES_TIMEOUT_MS: u64 = 3_000;
const MS_PER_SECOND: f64 = 1_000.0;

/// The sum of what the nodes of a cluster report.
struct GossipTotal {
    messages_sent: u64,
    nodes: usize,
}

pub(super) async fn run(fleet: &FleetOptions) -> Result<(), String> {
    for nodes in NODE_COUNTS {
        let options = FleetOptions { shape: format!("nodes:{nodes}"), ..fleet.clone() };
        let running = local_fleet::start(&options).await?;
        let listener = &running.plan.nodes[0].operator_listener;
        tokio::time::sleep(WARM_UP).await;
        let began = now();
        let before = gossip_total(listener).await.ok_or("no answer")?;
        tokio::time::sleep(MEASURED).await;
        let after = gossip_total(listener).await.ok_or("no answer")?;
        let seconds = (now() - began) as f64 / MS_PER_SECOND;
        let sent = (after.messages_sent - before.messages_sent) as f64;
        let per_node_second = sent / after.nodes as f64 / seconds;
        println!("gossip of {} nodes: {per_node_second:.1} messages a node and second", after.nodes);
    }
    Ok(())
}

async fn gossip_total(operator_listener: &str) -> Option<GossipTotal> {
    let (_status, reply) = operator_call(operator_listener, "nodes", &json!({}), NODES_TIMEOUT_MS).await?;
    let nodes = reply["nodes"].as_array()?;
    let sent = nodes.iter().filter_map(|node| node["answer"]["gossip_messages_sent"].as_u64());
    Some(GossipTotal { messages_sent: sent.sum(), nodes: nodes.len() })
}
