//! Bringing a cluster into service: a configuration is in force, servers are registered, primaries are assigned, and
//! nodes have discovered each other.
use super::FleetSpec;
use super::nodes::NodeThread;
use crate::samples::{SERVERS_PER_GROUP, configuration_text, server_record};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::seam;
use quincehatch_store::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A cluster that is not in service within this time has failed.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// How long to wait for the nodes to discover each other, including the time until the primaries are assigned.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(25);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(100);
/// Number of servers that are registered concurrently.
const CONCURRENT_WRITES: usize = 16;

pub(super) async fn bring_into_service(
    spec: &FleetSpec,
    client: &Arc<StoreClient>,
    nodes: &NodeThread,
) -> Result<(), String> {
    let text = configuration_text(spec.groups, 0);
    let push = Command::PushConfiguration { base: 0, text, by: "operator".into() };
    write(client, "plan".into(), push).await?;
    register_servers(spec.groups * SERVERS_PER_GROUP, client).await?;
    wait_until_ready(spec, nodes).await
}

pub(super) async fn write(client: &StoreClient, key: String, command: Command) -> Result<(), String> {
    let answer = client.write(&key, command, WRITE_TIMEOUT).await;
    answer.map(drop).map_err(|error| error.to_string())
}

async fn register_servers(count: usize, client: &Arc<StoreClient>) -> Result<(), String> {
    let indexes: Vec<usize> = (0..count).collect();
    for chunk in indexes.chunks(CONCURRENT_WRITES) {
        let writes = chunk.iter().map(|index| register_server(client.clone(), *index));
        for written in seam::join_all(writes).await {
            written?;
        }
    }
    Ok(())
}

async fn register_server(client: Arc<StoreClient>, index: usize) -> Result<(), String> {
    let command = Command::RegisterServer { at: server_record(index, 1) };
    write(&client, format!("beat/{index}/1"), command).await
}

/// Waits until every node knows all primaries, and either all nodes or [`MEMBERSHIP_TIMEOUT`] has passed. Not every
/// cluster reaches full membership, so the report contains how many nodes are known.
async fn wait_until_ready(spec: &FleetSpec, nodes: &NodeThread) -> Result<(), String> {
    let started_at = Instant::now();
    loop {
        let views = nodes.views();
        let primaries_known = views.iter().all(|view| view.primaries >= spec.groups);
        let nodes_known = views.iter().all(|view| view.live == spec.nodes);
        if primaries_known && (nodes_known || started_at.elapsed() > MEMBERSHIP_TIMEOUT) {
            return Ok(());
        }
        if started_at.elapsed() > START_TIMEOUT {
            return Err(format!("not in service; what each node knows: {views:?}"));
        }
        tokio::time::sleep(POLL).await;
    }
}
