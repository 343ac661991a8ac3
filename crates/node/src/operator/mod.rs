//! The operator listener: server heartbeats, and the operator API, which any node serves for the whole cluster.
mod configuration;
mod configuration_diff;
mod explain;
mod fan_out;
mod heartbeat;
mod local_report;
mod maintenance;
mod members;
mod node_report;
mod placements;
mod report_query;
mod server_report;
mod status;
mod tenants;

#[cfg(test)]
mod tests;

pub use local_report::local_report;

use crate::Node;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_operator_api::configuration::{HistoryRequest, PushRequest, RollbackRequest};
use quincehatch_operator_api::explain::ExplainRequest;
use quincehatch_operator_api::maintenance::{DrainRequest, PromoteRequest};
use quincehatch_operator_api::members::MembersRequest;
use quincehatch_operator_api::nodes::NodesRequest;
use quincehatch_operator_api::placements::PlacementsRequest;
use quincehatch_operator_api::servers::ServersRequest;
use quincehatch_operator_api::status::StatusRequest;
use quincehatch_operator_api::tenants::TenantsRequest;
use quincehatch_operator_api::{CallName, OperatorCall};
use quincehatch_proxy::listener::HttpRequest;
use quincehatch_proxy::request::error_json;
use serde_json::{Value, json};
use std::sync::Arc;

const HTTP_OK: u16 = 200;
/// Path to which servers send heartbeats.
const HEARTBEAT_PATH: &str = "/beat";

/// Answers one request at the operator listener with an HTTP status and a JSON body.
pub async fn answer(node: &Arc<Node>, request: HttpRequest) -> (u16, Value) {
    let reply = if request.path == HEARTBEAT_PATH {
        heartbeat::handle(node, &request.body)
    } else {
        answer_operator(node, &request).await
    };
    match reply {
        Ok(body) => (HTTP_OK, body),
        Err(error) => (error.http_status(), error_json(&error)),
    }
}

async fn answer_operator(node: &Arc<Node>, request: &HttpRequest) -> Result<Value, Error> {
    if !CallName::is_operator_path(&request.path) {
        return Err(ErrorCode::NoSuchCall.without_detail());
    }
    if request.token.as_deref() != Some(node.proxy.settings.token.as_str()) {
        return Err(ErrorCode::Unauthorized.without_detail());
    }
    let body = parse_body(&request.body)?;
    let call = CallName::from_path(&request.path).ok_or_else(|| ErrorCode::NoSuchCall.without_detail())?;
    dispatch(node, call, body).await
}

/// Parses the request's JSON body; an empty body counts as an empty object.
fn parse_body(body: &Bytes) -> Result<Value, Error> {
    if body.is_empty() {
        return Ok(json!({}));
    }
    serde_json::from_slice(body).map_err(|error| ErrorCode::Malformed.with_detail(error))
}

async fn dispatch(node: &Arc<Node>, call: CallName, body: Value) -> Result<Value, Error> {
    match call {
        CallName::Status => to_json::<StatusRequest>(status::status(node).await),
        CallName::Nodes => to_json::<NodesRequest>(status::nodes(node).await),
        CallName::Servers => to_json::<ServersRequest>(server_report::servers(node)),
        CallName::Placements => to_json::<PlacementsRequest>(placements::placements(node)?),
        CallName::Push => {
            let request: PushRequest = parse_request(body)?;
            to_json::<PushRequest>(configuration::push(node, &request.text, &request.options).await?)
        }
        CallName::History => to_json::<HistoryRequest>(configuration::history(node).await?),
        CallName::Rollback => {
            let request: RollbackRequest = parse_request(body)?;
            to_json::<RollbackRequest>(configuration::rollback(node, &request).await?)
        }
        CallName::Explain => {
            let request: ExplainRequest = parse_request(body)?;
            to_json::<ExplainRequest>(explain::explain(node, request).await?)
        }
        CallName::Promote => {
            let request: PromoteRequest = parse_request(body)?;
            to_json::<PromoteRequest>(maintenance::promote(node, &request).await?)
        }
        CallName::Drain => {
            let request: DrainRequest = parse_request(body)?;
            to_json::<DrainRequest>(maintenance::drain(node, &request).await?)
        }
        CallName::Tenants => to_json::<TenantsRequest>(tenants::tenants(node).await?),
        CallName::Members => {
            let request: MembersRequest = parse_request(body)?;
            to_json::<MembersRequest>(members::members(node, &request).await?)
        }
    }
}

fn parse_request<Request: OperatorCall>(body: Value) -> Result<Request, Error> {
    serde_json::from_value(body).map_err(|error| ErrorCode::Malformed.with_detail(error))
}

fn to_json<Request: OperatorCall>(reply: Request::Reply) -> Result<Value, Error> {
    serde_json::to_value(reply).map_err(|error| ErrorCode::InvalidReply.with_detail(error))
}
