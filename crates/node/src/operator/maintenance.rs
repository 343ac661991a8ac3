//! The operator calls `promote` and `drain`.
use super::report_query::ReportQuery;
use crate::Node;
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_gossip::{NodeReply, ownership};
use quincehatch_operator_api::maintenance::{
    DrainReply, DrainRequest, DrainState, PromoteReply, PromoteRequest,
};
use quincehatch_store::store::promotion_role_key;
use std::sync::atomic::Ordering;

/// Requests a handover of the group's primary from the node that owns the group's promotion duty.
pub async fn promote(node: &Node, request: &PromoteRequest) -> Result<PromoteReply, Error> {
    let group = &request.group;
    if node.proxy.registry.primary(group).is_none() {
        return Err(ErrorCode::NoSuchServer.with_detail(format_args!("no group is called {group:?}")));
    }
    let live: Vec<Name> = node.gossip.live_nodes().into_iter().map(|member| member.name).collect();
    let duty_owner = ownership::owner(&promotion_role_key(group), &live);
    let duty_owner = duty_owner.cloned().ok_or_else(|| ErrorCode::NoMajority.without_detail())?;
    let to = if request.to.is_empty() { None } else { Some(request.to.clone()) };
    let query = ReportQuery::Handover { group: group.clone(), to };
    node.gossip.query(&duty_owner, query.to_message()).await?;
    Ok(PromoteReply { asked: duty_owner, group: group.clone() })
}

/// Requests that a node stops or resumes accepting new clients.
pub async fn drain(node: &Node, request: &DrainRequest) -> Result<DrainReply, Error> {
    let query = ReportQuery::SetDraining(!request.undo);
    match node.gossip.query(&request.name, query.to_message()).await? {
        NodeReply::Report { json } => {
            let answer = serde_json::from_str(&json).unwrap_or(None);
            Ok(DrainReply { node: request.name.clone(), answer })
        }
        _ => Err(ErrorCode::Unreachable.without_detail()),
    }
}

/// Stops or resumes accepting new clients on this node.
pub fn set_draining(node: &Node, draining: bool) -> DrainState {
    let proxy = &node.proxy;
    proxy.registry.draining.store(draining, Ordering::SeqCst);
    log::info!(target: "node", "draining is {}", if draining { "on" } else { "off" });
    DrainState {
        draining,
        sessions: proxy.sessions.len(),
        in_flight: proxy.requests_in_flight.load(Ordering::Relaxed),
    }
}
