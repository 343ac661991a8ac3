//! Whether a primary's log still reaches any replica.
use quincehatch_core::{Millis, Position};

/// What a server had received when it was asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedSample {
    /// When it was asked.
    pub asked_at: Millis,
    /// The end of what it had received.
    pub received: Position,
}

/// A watermark of the primary's log: where it ended at some moment, no replica having been seen to reach that since.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationWatermark {
    end: Position,
    set_at: Millis,
}

impl ReplicationWatermark {
    /// Takes the latest samples. Returns for how long no replica has reached the watermark, as seen from a replica that
    /// was asked since it was set; 0 where one has, or none answered.
    pub fn update(&mut self, primary: ReceivedSample, replicas: &[ReceivedSample]) -> Millis {
        let never_set = self.set_at == 0;
        let log_shrank = primary.received < self.end;
        let reached = replicas.iter().any(|replica| replica.received >= self.end);
        if never_set || log_shrank || reached {
            *self = Self { end: primary.received, set_at: primary.asked_at };
        }
        let behind = replicas.iter().filter(|replica| replica.received < self.end);
        behind.map(|replica| replica.asked_at.saturating_sub(self.set_at)).max().unwrap_or(0)
    }
}
