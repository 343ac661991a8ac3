//! Recognises heartbeats that a server sent before it departed and that arrive afterwards.
//!
//! A heartbeat that changes nothing is not recorded, so the store does not know the number of the last heartbeat that a
//! server sent. The first one that arrives after the departure is taken as delayed, and its number is recorded: only few
//! heartbeats are in flight at a time, so the number of any other delayed one is close to it. A server whose heartbeats
//! go on after that is running.
use crate::store::Store;
use quincehatch_core::ServerRecord;

/// Numbers of delayed heartbeats are less than this much above that of the first one to arrive.
const MAX_DELAYED_HEARTBEATS: u64 = 64;

/// How a heartbeat of a server that is not registered relates to the server's departure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HeartbeatTiming {
    /// The server has not departed, or is running again.
    Current,
    /// It is the first one to arrive after the departure that is newer than the recorded one.
    FirstDelayed,
    /// It was sent before the departure, and changes nothing.
    Delayed,
}

impl Store {
    /// Classifies a heartbeat of a server that is not registered.
    pub(super) fn heartbeat_timing(&self, record: &ServerRecord) -> HeartbeatTiming {
        let Some(departure) = self.departure(&record.group, &record.server) else {
            return HeartbeatTiming::Current;
        };
        if record.seq <= departure.seq {
            return HeartbeatTiming::Delayed;
        }
        match self.first_delayed.get(&record.server) {
            None => HeartbeatTiming::FirstDelayed,
            Some(first) if record.seq < first.saturating_add(MAX_DELAYED_HEARTBEATS) => {
                HeartbeatTiming::Delayed
            }
            Some(_) => HeartbeatTiming::Current,
        }
    }
}
