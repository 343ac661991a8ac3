//! Reads from the tail of the chain alone: what it answers is committed, and nothing older is ever handed out.
use super::{RETRY_AFTER_MS, RETRY_PAUSE_MS, StoreClient, unexpected_reply};
use quincehatch_core::{Error, ErrorCode};
use quincehatch_quota::TenantUsage;
use quincehatch_runtime::{now, seam};
use quincehatch_store::{AdoptedDocument, Reply, Request, Store};
use std::time::Duration;

/// One attempt waits for an answer for at most this long, in milliseconds.
const MAX_ATTEMPT_MS: u64 = 400;

impl StoreClient {
    /// The operator's document in force.
    pub async fn read_adopted_document(&self, within: Duration) -> Result<Option<AdoptedDocument>, Error> {
        match self.read_from_tail(Request::ReadDocument, within).await? {
            Reply::Document { document } => Ok(document),
            _ => Err(unexpected_reply()),
        }
    }

    /// All that the store holds.
    pub async fn read_store(&self, within: Duration) -> Result<Store, Error> {
        match self.read_from_tail(Request::ReadStore, within).await? {
            Reply::Store { store } => Ok(*store),
            _ => Err(unexpected_reply()),
        }
    }

    /// What the tail has counted of tenants' operations.
    pub async fn read_quota(&self, within: Duration) -> Result<Vec<TenantUsage>, Error> {
        match self.read_from_tail(Request::ReadQuota, within).await? {
            Reply::Quota { tenants } => Ok(tenants),
            _ => Err(unexpected_reply()),
        }
    }

    async fn read_from_tail(&self, request: Request, within: Duration) -> Result<Reply, Error> {
        let deadline = now() + within.as_millis() as u64;
        loop {
            let asked_at = now();
            let patience_ms = deadline.saturating_sub(asked_at).clamp(1, MAX_ATTEMPT_MS);
            let tail = self.tail_address();
            match self.call(&tail, request.clone(), Duration::from_millis(patience_ms)).await {
                Ok(Reply::Redirect { view }) => self.learn_view(view),
                Ok(Reply::Rejected { .. }) | Err(_) => {}
                // A process that was suspended finds the answer and the end of its patience together: that answer is
                // old.
                Ok(_) if now() > asked_at + patience_ms => {}
                Ok(reply) => return Ok(reply),
            }
            self.tail_after_failure(&tail).await;
            if now() + RETRY_PAUSE_MS >= deadline {
                let error = ErrorCode::ChainUnavailable.with_detail("no keeper answers for the chain");
                return Err(error.with_retry_after(RETRY_AFTER_MS));
            }
            seam::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}
