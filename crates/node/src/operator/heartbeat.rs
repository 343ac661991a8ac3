//! The operator listener's handler of database servers' heartbeats.
use crate::{Node, peer_service};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, ServerHeartbeat};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest name of a server, in bytes.
const MAX_SERVER_NAME_BYTES: usize = 64;
const MAX_LABELS: usize = 32;

/// Records a heartbeat. The reply states whether it was newer than the last one that this node recorded.
pub fn handle(node: &Arc<Node>, body: &Bytes) -> Result<Value, Error> {
    let heartbeat: ServerHeartbeat =
        serde_json::from_slice(body).map_err(|error| ErrorCode::Malformed.with_detail(error))?;
    validate(&heartbeat)?;
    let is_newer = peer_service::record_heartbeat(node, heartbeat);
    Ok(json!({"news": is_newer}))
}

fn validate(heartbeat: &ServerHeartbeat) -> Result<(), Error> {
    let has_valid_name = (1..=MAX_SERVER_NAME_BYTES).contains(&heartbeat.server.len());
    let has_valid_labels = heartbeat.labels.len() <= MAX_LABELS;
    let has_valid_address = heartbeat.addr.parse::<SocketAddr>().is_ok();
    if has_valid_name && has_valid_labels && has_valid_address {
        return Ok(());
    }
    Err(ErrorCode::Malformed.with_detail("a heartbeat needs a server's name and ip:port"))
}
