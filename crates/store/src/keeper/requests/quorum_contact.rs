//! Answers that need no new log entry. The head gives them only after contact with a majority of the voters.
//!
//! A new entry proves by its commit that the head is still the head. An answer that rests on what the store holds
//! already has no commit to wait for, and a head that was cut off may hold an old store. So the answer waits until a
//! majority has granted a heartbeat that was sent after the request came: no newer view was decided before that
//! heartbeat, so the head's log held every entry that was committed by then. No clock is part of the argument.
use crate::command::Command;
use crate::keeper::Keeper;
use crate::store::RecordedAnswer;
use quincehatch_core::Millis;

/// How long a request that changes nothing waits for others, so that one heartbeat serves them all.
const CONTACT_WAIT: Millis = 60;

impl Keeper {
    /// What the store answers to a write that was taken before, or that would change nothing; `None` if the write needs
    /// an entry of its own.
    pub(super) fn recorded_answer(&self, key: &str, command: &Command) -> Option<RecordedAnswer> {
        let Some(earlier) = self.store.answered_write(key) else { return self.store.no_op_answer(command) };
        let answer = earlier.answer_to(command.digest());
        Some(RecordedAnswer { entry: earlier.number, answer })
    }

    /// Has a heartbeat sent soon. Returns the number that a granted heartbeat must exceed to prove contact from now on.
    pub(super) fn request_contact(&mut self, command: &Command) -> u64 {
        let newest_heartbeat = self.view_lease.sequence();
        match command {
            // These come at all times and may wait a little.
            Command::RegisterServer { .. } | Command::DeregisterServer { .. } => {
                self.next_heartbeat_at = self.next_heartbeat_at.min(self.now + CONTACT_WAIT);
            }
            _ => self.send_heartbeat(),
        }
        newest_heartbeat
    }
}
