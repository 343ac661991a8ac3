//! Reads outside a transaction. A read goes to a fresh replica, preferably of the same zone, never outside the
//! placement, and is retried at another server before its deadline.
pub mod attempts;
pub mod freshness;
pub mod rounds;

use crate::client_api::reply::RequestResult;
use crate::client_api::request::ClientRequest;
use crate::services::Services;
use attempts::{ReadAttempts, Step};
use std::sync::Arc;

/// Runs a read on any server that is fresh enough.
pub async fn read(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let mut attempts = ReadAttempts::new(request)?;
    services.retry_budget.add_request_credit();
    while request.time_left() > 0 {
        let attempt_id = services.next_request_id();
        let Some(choice) = attempts.choose(services, request, attempt_id) else {
            attempts.wait_for_next_round(services, request).await?;
            // Another primary may have been assigned meanwhile.
            request.cluster_state = services.registry.cluster_state();
            continue;
        };
        match attempts.try_server(services, request, &choice).await {
            Step::Done(result) => return result,
            Step::TryNext => {}
        }
    }
    Err(attempts.deadline_error())
}
