//! Reads from the tail of the chain only. What the tail answers is committed, and a stale answer is never returned.
use super::{RETRY_AFTER_MS, RETRY_PAUSE_MS, StoreClient, unexpected_reply};
use quincehatch_core::{Error, ErrorCode};
use quincehatch_quota::TenantUsage;
use quincehatch_runtime::{now, seam};
use quincehatch_store::{AdoptedDocument, Reply, Request, Store};
use std::time::Duration;

/// Longest timeout of one attempt, in milliseconds.
const MAX_ATTEMPT_MS: u64 = 400;

impl StoreClient {
    /// Reads the operator's document that is in force.
    pub async fn read_adopted_document(&self, within: Duration) -> Result<Option<AdoptedDocument>, Error> {
        match self.read_from_tail(Request::ReadDocument, within).await? {
            Reply::Document { document } => Ok(document),
            _ => Err(unexpected_reply()),
        }
    }

    /// Reads the whole content of the store.
    pub async fn read_store(&self, within: Duration) -> Result<Store, Error> {
        match self.read_from_tail(Request::ReadStore, within).await? {
            Reply::Store { store } => Ok(*store),
            _ => Err(unexpected_reply()),
        }
    }

    /// Reads the tail's usage counts of tenants' operations.
    pub async fn read_quota(&self, within: Duration) -> Result<Vec<TenantUsage>, Error> {
        match self.read_from_tail(Request::ReadQuota, within).await? {
            Reply::Quota { tenants } => Ok(tenants),
            _ => Err(unexpected_reply()),
        }
    }

    async fn read_from_tail(&self, request: Request, within: Duration) -> Result<Reply, Error> {
        let deadline = now() + within.as_millis() as u64;
        loop {
            let sent_at = now();
            let attempt_timeout_ms = deadline.saturating_sub(sent_at).clamp(1, MAX_ATTEMPT_MS);
            let tail = self.tail_address();
            match self.call(&tail, request.clone(), Duration::from_millis(attempt_timeout_ms)).await {
                Ok(Reply::Redirect { view }) => self.adopt_view_if_newer(view),
                Ok(Reply::Rejected { .. }) | Err(_) => {}
                // After a suspension of this process the answer and the expired timeout are seen together; the answer
                // may be stale, so it is discarded.
                Ok(_) if now() > sent_at + attempt_timeout_ms => {}
                Ok(reply) => return Ok(reply),
            }
            self.tail_after_failure(&tail).await;
            if now() + RETRY_PAUSE_MS >= deadline {
                let error = ErrorCode::ChainUnavailable
                    .with_detail("no keeper answered as the tail of the chain in time");
                return Err(error.with_retry_after(RETRY_AFTER_MS));
            }
            seam::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}
