//! Answers to writes that need no new log entry. The head gives them only after a majority of the voters has confirmed
//! its view.
//!
//! The commit of a new entry proves that the head is still the head. An answer that the store already contains has no
//! commit to wait for, and a partitioned head may hold an outdated store. So the answer waits until a majority has
//! granted a heartbeat that was sent after the request arrived: no newer view was decided before that heartbeat was
//! sent, so the head's log contained every entry that was committed by then. The argument does not depend on clocks.
use crate::command::Command;
use crate::keeper::Keeper;
use crate::store::RecordedAnswer;
use quincehatch_core::Millis;

/// Longest delay of the heartbeat that confirms a request without effect, so that one heartbeat confirms several
/// requests.
const QUORUM_CONTACT_DELAY: Millis = 60;

impl Keeper {
    /// Returns the stored answer to a write that was applied before, or the answer to a write that would change
    /// nothing; `None` if the write needs a new entry.
    pub(super) fn recorded_answer(&self, key: &str, command: &Command) -> Option<RecordedAnswer> {
        let Some(earlier) = self.store.answered_write(key) else { return self.store.no_op_answer(command) };
        let answer = earlier.answer_to(command.digest());
        Some(RecordedAnswer { entry: earlier.number, answer })
    }

    /// Sends a heartbeat now or schedules one soon. Returns the sequence number of the last heartbeat before: a grant
    /// of any later heartbeat confirms the view as of now.
    pub(super) fn request_quorum_contact(&mut self, command: &Command) -> u64 {
        let newest_heartbeat = self.view_lease.sequence();
        match command {
            // These commands are frequent, so they share a heartbeat.
            Command::RegisterServer { .. } | Command::DeregisterServer { .. } => {
                self.next_heartbeat_at = self.next_heartbeat_at.min(self.now + QUORUM_CONTACT_DELAY);
            }
            _ => self.send_heartbeat(),
        }
        newest_heartbeat
    }
}
