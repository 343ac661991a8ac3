//! Replication and heartbeats of a stand-in.
use super::StandIn;
use crate::database::{PullRequest, PullResponse};
use quincehatch_runtime::seam;
use quincehatch_wire::http::{HttpConnection, JsonRequest, post_once};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval at which a server that does not replicate checks whether it should.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed pull, before the next peer is tried.
const PULL_RETRY: Duration = Duration::from_millis(30);
/// Longest wait of a pull for new records.
const PULL_WAIT: Duration = Duration::from_millis(100);
/// Largest number of records in one pull response.
const PULL_SIZE: usize = 512;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of nodes that each heartbeat is sent to.
const HEARTBEAT_NODES: usize = 2;

/// Replicates from the peer that is primary, over one connection that is reused while it answers.
pub async fn follow_primary(server: Arc<StandIn>) {
    let peers = &server.options.peers;
    let mut peer_index = 0;
    let mut connection: Option<HttpConnection> = None;
    loop {
        let faults = &server.faults;
        let follows = !server.is_primary()
            && !peers.is_empty()
            && !faults.is_set(&faults.deaf)
            && !faults.is_set(&faults.dark);
        if !follows {
            connection = None;
            seam::sleep(IDLE_INTERVAL).await;
            continue;
        }
        let lag = faults.lag_ms.load(Ordering::SeqCst);
        if lag > 0 {
            seam::sleep(Duration::from_millis(lag)).await;
        }
        let peer = &peers[peer_index % peers.len()];
        let response = seam::timeout(PULL_TIMEOUT, pull_from(&server, peer, &mut connection)).await;
        let applied =
            response.ok().flatten().is_some_and(|response| server.with_db(|db| db.apply_pull(response)));
        if !applied {
            connection = None;
            peer_index += 1;
            seam::sleep(PULL_RETRY).await;
        }
    }
}

async fn pull_from(
    server: &StandIn,
    peer: &str,
    connection: &mut Option<HttpConnection>,
) -> Option<PullResponse> {
    let request =
        server.with_db(|db| PullRequest { server: db.name.clone(), fence: db.fence, have: db.log_end() });
    let body = json!(request);
    if connection.is_none() {
        *connection = HttpConnection::open(peer, None).await.ok();
    }
    let call = JsonRequest { method: "POST", path: "/v1/pull", body: &body, token: None };
    let (_, reply) = connection.as_mut()?.call(&call).await.ok()?;
    serde_json::from_value(reply).ok()
}

/// Answers a replica's pull: immediately if there are new records, else when some arrive or after a short wait.
pub async fn serve_pull(server: &StandIn, request: PullRequest) -> Value {
    let not_primary = || server.failure("not-primary", "this server is not primary");
    for _ in 0..2 {
        let changed = server.log_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let commit_before = server.db.lock().unwrap().commit;
        let (response, commit) = server.with_db(|db| (db.serve_pull(&request, PULL_SIZE), db.commit));
        let Some(response) = response else { return not_primary() };
        if !response.recs.is_empty() || response.fences.is_some() || commit > commit_before {
            return json!(response);
        }
        let _ = seam::timeout(PULL_WAIT, changed).await;
    }
    match server.with_db(|db| db.serve_pull(&request, PULL_SIZE)) {
        Some(response) => json!(response),
        None => not_primary(),
    }
}

/// Sends heartbeats; each goes to `HEARTBEAT_NODES` of the nodes, in rotation.
pub async fn send_heartbeats(server: Arc<StandIn>) {
    let nodes = &server.options.operator_addresses;
    let mut first = 0;
    while !nodes.is_empty() {
        if !server.faults.is_set(&server.faults.dark) {
            let heartbeat = json!(server.heartbeat());
            for offset in 0..HEARTBEAT_NODES.min(nodes.len()) {
                let node = nodes[(first + offset) % nodes.len()].clone();
                let heartbeat = heartbeat.clone();
                seam::spawn(async move {
                    let _ = post_once(&node, "/beat", &heartbeat, HEARTBEAT_TIMEOUT).await;
                });
            }
            first += 1;
        }
        seam::sleep(HEARTBEAT_INTERVAL).await;
    }
}
