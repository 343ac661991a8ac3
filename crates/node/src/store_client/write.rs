//! Writes to the head of the chain, retried with the same idempotency key until they are answered.
use super::{RETRY_AFTER_MS, RETRY_PAUSE_MS, StoreClient, unexpected_reply};
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_store::{Answer, Command, Reply, Request};
use std::time::Duration;

/// Longest timeout of one attempt, in milliseconds: an answer that was lost in transit, or with the connection of a
/// head that lost power, never arrives. A retry joins the pending write with the same key.
const MAX_ATTEMPT_MS: u64 = 2_000;
/// Interval at which a pending write checks whether another keeper has become the head.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// The result of one attempt to write.
enum Attempt {
    /// The store answered; the result is final.
    Answered(Result<Answer, Error>),
    /// The attempt failed and may be retried.
    Failed(Error),
}

impl StoreClient {
    /// Writes at the current head, and follows it to another keeper if the view changes. After an error with an unknown
    /// outcome the write may have been applied.
    pub async fn write(&self, key: &str, command: Command, within: Duration) -> Result<Answer, Error> {
        let deadline = now() + within.as_millis() as u64;
        let mut head = self.head_address();
        loop {
            let request = Request::Write { key: Name::from(key), command: command.clone() };
            let remaining = deadline.saturating_sub(now()).clamp(1, MAX_ATTEMPT_MS);
            let call = self.call(&head, request, Duration::from_millis(remaining));
            // An unresponsive head does not reject the request either, so the view is checked while the call is
            // pending.
            let reply = match seam::select_first(call, self.wait_for_other_head(&head)).await {
                Ok(reply) => reply,
                Err(other_head) => {
                    head = other_head;
                    continue;
                }
            };
            let error = match self.handle_write_reply(&head, reply).await {
                Attempt::Answered(result) => return result,
                Attempt::Failed(error) => error,
            };
            if now() + RETRY_PAUSE_MS >= deadline {
                return Err(error.with_unknown_outcome().with_retry_after(RETRY_AFTER_MS));
            }
            seam::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            head = self.head_address();
        }
    }

    async fn handle_write_reply(&self, head: &str, reply: Result<Reply, Error>) -> Attempt {
        match reply {
            Ok(Reply::Answer { answer: Answer::Rejected(error), .. }) => Attempt::Answered(Err(error)),
            Ok(Reply::Answer { answer, .. }) => Attempt::Answered(Ok(answer)),
            Ok(Reply::Redirect { view }) => {
                self.adopt_view_if_newer(view);
                if self.head_address() == head {
                    self.refresh_view().await;
                }
                Attempt::Failed(ErrorCode::ChainUnavailable.with_detail("the chain is being repaired"))
            }
            Ok(Reply::Rejected { error }) if error.has_code(ErrorCode::ConfigurationInvalid) => {
                Attempt::Answered(Err(error))
            }
            Ok(Reply::Rejected { error }) => {
                // A head with a failed disk rejects at once; the other keepers may have replaced it in a newer view.
                if error.has_code(ErrorCode::ChainUnavailable) {
                    self.refresh_view().await;
                }
                Attempt::Failed(error)
            }
            Ok(_) => Attempt::Failed(unexpected_reply()),
            Err(error) => {
                self.refresh_view().await;
                Attempt::Failed(error)
            }
        }
    }

    /// Returns the address of the new head once some keeper reports a view with another head.
    async fn wait_for_other_head(&self, head: &str) -> String {
        loop {
            seam::sleep(HEAD_CHECK_INTERVAL).await;
            self.refresh_view().await;
            let current_head = self.head_address();
            if current_head != head {
                return current_head;
            }
        }
    }
}
