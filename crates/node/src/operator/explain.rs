//! The operator call `explain`.
use super::fan_out::report_from_all_nodes;
use super::report_query::ReportQuery;
use crate::Node;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_operator_api::explain::{ExplainReply, ExplainRequest, ExplainSubject};
use std::sync::Arc;

/// Returns what every node has recorded about the requested subject.
pub async fn explain(node: &Arc<Node>, request: ExplainRequest) -> Result<ExplainReply, Error> {
    let query = match request.subject() {
        Some(ExplainSubject::Server(server)) => ReportQuery::ServerHealth(server.into()),
        Some(ExplainSubject::Request(id)) => ReportQuery::RequestTrace(id.into()),
        Some(ExplainSubject::Promotions) => ReportQuery::Promotions,
        None => {
            return Err(ErrorCode::Malformed.with_detail("explain takes server, request or promotions"));
        }
    };
    Ok(ExplainReply { nodes: report_from_all_nodes(node, &query).await })
}
