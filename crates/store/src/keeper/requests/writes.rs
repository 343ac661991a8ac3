//! Writes to the replicated log, at the head.
use super::ack_level::AckLevel;
use crate::command::{Answer, Command, Entry};
use crate::entry_log::PackedEntry;
use crate::keeper::{Keeper, Output};
use crate::messages::Reply;
use crate::store::RecordedAnswer;
use crate::timing::{MAX_ADOPT_ACK_DELAY, RETRY_PENDING_AFTER};
use quincehatch_core::{ChangeNumber, Error, ErrorCode, Millis, Name};

/// Maximum number of writes that wait for their acknowledgement; further writes are rejected.
const MAX_PENDING_WRITES: usize = 1024;
/// How long a write waits for its acknowledgement before it is rejected, after which the client retries it with the
/// same idempotency key.
const WRITE_TIMEOUT: Millis = 8_000;
/// Delay after which a client may retry a write that was rejected because of too many pending writes or a full disk.
const RETRY_OVERLOADED_AFTER: Millis = 1_000;

/// A write that waits for its acknowledgement.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct PendingWrite {
    token: u64,
    /// Number of the entry that must reach `ack_level`.
    number: ChangeNumber,
    answer: Answer,
    ack_level: AckLevel,
    /// For an answer without a new entry: a majority must grant a heartbeat with a higher sequence number, which proves
    /// that this keeper is still the head.
    quorum_contact_after: Option<u64>,
    deadline: Millis,
}

impl Keeper {
    /// Handles a write. Returns a reply only if the write is redirected or rejected.
    pub(super) fn handle_write(&mut self, token: u64, key: Name, command: Command) -> Option<Reply> {
        if !self.is_head() {
            return Some(self.redirect());
        }
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            return Some(Reply::Rejected { error: overloaded("too many writes are pending") });
        }
        let pending = match self.recorded_answer(&key, &command) {
            Some(recorded) => self.await_quorum_contact(token, recorded, &command),
            // The rest of the disk is reserved for small records without which the chain cannot operate.
            None if self.disk_usage.is_reserve_in_use() && command.is_document() => {
                return Some(Reply::Rejected { error: overloaded("the disk is nearly full") });
            }
            None => self.append_write(token, key, command)?,
        };
        self.pending_writes.push(pending);
        None
    }

    /// Answers the writes that are acknowledged or timed out, and redirects all writes if this keeper is no longer the
    /// head.
    pub(super) fn answer_due_writes(&mut self) {
        let mut waiting = Vec::new();
        for write in std::mem::take(&mut self.pending_writes) {
            match self.reply_to(&write) {
                Some(reply) => self.outputs.push(Output::Reply(write.token, reply)),
                None => waiting.push(write),
            }
        }
        self.pending_writes = waiting;
    }

    fn await_quorum_contact(
        &mut self,
        token: u64,
        recorded: RecordedAnswer,
        command: &Command,
    ) -> PendingWrite {
        let quorum_contact_after = Some(self.request_quorum_contact(command));
        let ack_level = AckLevel::for_write(command, &recorded.answer);
        let deadline = self.now + WRITE_TIMEOUT;
        PendingWrite {
            token,
            number: recorded.entry,
            answer: recorded.answer,
            ack_level,
            quorum_contact_after,
            deadline,
        }
    }

    fn append_write(&mut self, token: u64, key: Name, command: Command) -> Option<PendingWrite> {
        let previous_change = self.store.last_change;
        let number = previous_change + 1;
        let entry = Entry { number, key, command };
        let answer = self.append_entry(&entry, PackedEntry::pack(&entry))?;
        self.forward_entries(previous_change);
        let ack_level = AckLevel::for_write(&entry.command, &answer);
        let deadline = self.now + WRITE_TIMEOUT;
        Some(PendingWrite { token, number, answer, ack_level, quorum_contact_after: None, deadline })
    }

    /// Returns the reply to a write; `None` while it must wait.
    fn reply_to(&self, write: &PendingWrite) -> Option<Reply> {
        if !self.is_head() {
            return Some(self.redirect());
        }
        let has_quorum_contact =
            write.quorum_contact_after.is_none_or(|heartbeat| self.view_lease.is_confirmed_after(heartbeat));
        if has_quorum_contact && self.is_acknowledged(write) {
            return Some(Reply::Answer { number: write.number, answer: write.answer.clone() });
        }
        if self.now < write.deadline {
            return None;
        }
        let detail = "write not acknowledged in time; retry with the same idempotency key";
        let error = ErrorCode::ChainUnavailable.with_detail(detail).with_unknown_outcome();
        Some(Reply::Rejected { error: error.with_retry_after(RETRY_PENDING_AFTER) })
    }

    fn is_acknowledged(&self, write: &PendingWrite) -> bool {
        let is_in_force = write.number <= self.in_force;
        match write.ack_level {
            AckLevel::Committed => write.number <= self.committed,
            AckLevel::InForce => is_in_force,
            AckLevel::InForceOrDelayed => {
                let time_since_commit = self.commit_times.time_since_commit(write.number, self.now);
                is_in_force || time_since_commit.is_some_and(|time| time >= MAX_ADOPT_ACK_DELAY)
            }
        }
    }
}

fn overloaded(detail: &str) -> Error {
    ErrorCode::ChainUnavailable.with_detail(detail).with_retry_after(RETRY_OVERLOADED_AFTER)
}
