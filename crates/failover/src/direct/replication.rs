//! Detection of a primary whose log no longer reaches any replica.
use quincehatch_core::{Millis, Position};

/// The end of the log that a server reported when its status was queried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedSample {
    /// The time at which the query was sent.
    pub queried_at: Millis,
    /// The end of the log entries that it had received.
    pub received: Position,
}

/// A recorded end of the primary's log that no replica has been seen to reach yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationWatermark {
    end: Position,
    set_at: Millis,
}

impl ReplicationWatermark {
    /// Applies the latest samples. Once a replica has reached the watermark, a new one is set. Returns for how long the
    /// current watermark has not been reached, measured up to the latest sample of a replica behind it, or 0 if no
    /// answering replica is behind it.
    pub fn update(&mut self, primary: ReceivedSample, replicas: &[ReceivedSample]) -> Millis {
        let never_set = self.set_at == 0;
        let log_shrank = primary.received < self.end;
        let reached = replicas.iter().any(|replica| replica.received >= self.end);
        if never_set || log_shrank || reached {
            *self = Self { end: primary.received, set_at: primary.queried_at };
        }
        let behind = replicas.iter().filter(|replica| replica.received < self.end);
        behind.map(|replica| replica.queried_at.saturating_sub(self.set_at)).max().unwrap_or(0)
    }
}
