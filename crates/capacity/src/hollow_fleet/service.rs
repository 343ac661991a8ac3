//! Bringing a cluster into service: a configuration in force, servers known, primaries assigned, nodes known to all.
use super::FleetSpec;
use super::nodes::NodeThread;
use crate::samples::{SERVERS_PER_GROUP, configuration_text, server_record};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::seam;
use quincehatch_store::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A cluster that is not in service by then has failed.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// How long nodes are given to hear of each other once the primaries are assigned.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(25);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(100);
/// Servers that are registered at a time.
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

/// Not every cluster comes to know all of itself: how far it came is among the figures.
async fn wait_until_ready(spec: &FleetSpec, nodes: &NodeThread) -> Result<(), String> {
    let began = Instant::now();
    loop {
        let views = nodes.views();
        let led = views.iter().all(|view| view.primaries >= spec.groups);
        let met = views.iter().all(|view| view.live == spec.nodes);
        if led && (met || began.elapsed() > MEMBERSHIP_TIMEOUT) {
            return Ok(());
        }
        if began.elapsed() > START_TIMEOUT {
            return Err(format!("not in service; what each node knows: {views:?}"));
        }
        tokio::time::sleep(POLL).await;
    }
}
