//! Answers that need no new log entry. The head gives them only after contact with a majority (§5.2, §5.3).
//!
//! A new entry proves by its commit that the head still leads. An answer that rests on what the store holds already
//! has no commit to wait for, and a head that was cut off may hold an old store. So it waits until a majority has
//! granted a heartbeat that was sent after the question came: no newer view was agreed before that heartbeat, and
//! the head's log held every entry that was committed by then. No clock is part of the argument.
use crate::keeper::Keeper;
use crate::messages::{Answer, Command};
use crate::store::RecordedAnswer;
use quincehatch_core::{ErrorCode, Millis};

/// How long a question that alters nothing waits for others, so that one heartbeat serves them all.
const CONTACT_WAIT: Millis = 60;

impl Keeper {
    /// What the store answers to a write that was taken before, or that would alter nothing.
    pub(crate) fn recorded_answer(&self, key: &str, command: &Command) -> Option<RecordedAnswer> {
        let Some(past) = self.store.answered_write(key) else { return self.store.no_op_answer(command) };
        let answer = match past.digest == command.digest() {
            true => past.answer.clone(),
            false => Answer::Rejected(ErrorCode::PushConflict.without_detail()),
        };
        Some(RecordedAnswer { entry: past.number, answer })
    }

    /// Has a heartbeat sent soon; the number that a granted heartbeat must exceed to prove contact from now on.
    pub(crate) fn request_contact(&mut self, command: &Command) -> u64 {
        let after = self.heartbeat_sequence;
        match command {
            // They come at all times and may wait a little.
            Command::RegisterServer { .. } | Command::DeregisterServer { .. } => {
                self.next_heartbeat_at = self.next_heartbeat_at.min(self.now + CONTACT_WAIT);
            }
            _ => self.send_heartbeat(),
        }
        after
    }

    /// Did a majority grant a heartbeat that was sent after that one?
    pub(crate) fn in_contact_since(&self, heartbeat: u64) -> bool {
        self.confirmed_heartbeat > heartbeat
    }
}
