//! Writes to the head of the chain, sent again under the same idempotency key until they are answered.
use super::{RETRY_AFTER_MS, RETRY_PAUSE_MS, StoreClient, unexpected_reply};
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_store::{Answer, Command, Reply, Request};
use std::time::Duration;

/// One attempt waits for an answer for at most this long, in milliseconds: an answer that was lost on its way, or with
/// the connection of a head that lost power, never comes. A write that is sent again joins the one that waits.
const MAX_ATTEMPT_MS: u64 = 2_000;
/// How often a write that waits checks whether another keeper is the head by now.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// What an attempt to write came to.
enum Attempt {
    /// The store answered; nothing is to be tried again.
    Answered(Result<Answer, Error>),
    /// It may be tried again.
    Failed(Error),
}

impl StoreClient {
    /// Writes, wherever the head is by then. After an error with an unknown outcome the write may have been done.
    pub async fn write(&self, key: &str, command: Command, within: Duration) -> Result<Answer, Error> {
        let deadline = now() + within.as_millis() as u64;
        let mut head = self.head_address();
        loop {
            let request = Request::Write { key: Name::from(key), command: command.clone() };
            let remaining = deadline.saturating_sub(now()).clamp(1, MAX_ATTEMPT_MS);
            let call = self.call(&head, request, Duration::from_millis(remaining));
            // A head that went dark does not even reject: whoever waits for it checks where the head is by now.
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
                self.learn_view(view);
                if self.head_address() == head {
                    self.refresh_view().await;
                }
                Attempt::Failed(ErrorCode::ChainUnavailable.with_detail("the chain is being repaired"))
            }
            Ok(Reply::Rejected { error }) if error.has_code(ErrorCode::ConfigurationInvalid) => {
                Attempt::Answered(Err(error))
            }
            Ok(Reply::Rejected { error }) => {
                // A head whose disk fails rejects at once: others may go on without it by now.
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

    /// Ends once some keeper knows of a view with another head. Returns that head's address.
    async fn wait_for_other_head(&self, head: &str) -> String {
        loop {
            seam::sleep(HEAD_CHECK_INTERVAL).await;
            self.refresh_view().await;
            let known_head = self.head_address();
            if known_head != head {
                return known_head;
            }
        }
    }
}
