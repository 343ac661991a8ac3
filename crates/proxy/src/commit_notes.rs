//! What words and answers of servers leave on the blackboard (§4.9, §5.5).
use crate::registry::{Registry, ServerEntry};
use quincehatch_core::{FencingToken, Millis, Position};
use quincehatch_runtime::{now, seam};

/// A server that has not answered STATUS for so long gets no new work: it may be leaving.
const HEARD: Millis = 3_000;

/// A lead that leaves takes new work so long while another is found: each node hears of a leave within its lease (4 s),
/// and 7 s after the leave no new work may come (§1 N9, §3.5).
const LEAVING: Millis = 3_000;

impl ServerEntry {
    /// Word that the server leaves, or that it is back (§4.9).
    pub fn set_draining(&self, leaving: bool) {
        if seam::injected_bug("work-after-leaving") {
            return;
        }
        let mut st = self.status.lock().unwrap();
        match (leaving, st.draining_since) {
            (true, None) => {
                st.draining_since = Some(now());
                drop(st);
                self.pool.shut(true);
                self.direct_pool.close();
                log::info!(target: "verdict", "server {} leaves, no new work goes there", self.name);
            }
            (false, Some(_)) => {
                st.draining_since = None;
                drop(st);
                self.pool.shut(false);
                log::info!(target: "verdict", "server {} is back", self.name);
            }
            _ => {}
        }
    }
    /// Has it answered STATUS so lately that a word of its leaving cannot have been missed for 7 s (§4.9)?
    pub fn answered_recently(&self) -> bool {
        now() < self.status.lock().unwrap().answered_at + HEARD
    }
    /// Has it been leaving for so long, as heard here, that even its lead takes no new work?
    pub fn past_drain_grace(&self) -> bool {
        self.status.lock().unwrap().draining_since.is_some_and(|at| now() >= at + LEAVING)
    }
    /// It declined as one that does not lead: kept for whoever looks after the group.
    pub fn note_not_primary(&self, at: Millis) {
        self.status.lock().unwrap().denied_primary_at = Some(at);
    }
    /// It answered something that was asked at `asked`.
    pub fn note_answer(&self, asked: Millis) {
        let mut s = self.status.lock().unwrap();
        s.asked_at = s.asked_at.max(asked);
        s.answered_at = now();
        (s.failing_since, s.refused) = (None, false);
    }
    /// It did not answer what was asked at `asked`, or nobody listens there; a later answer speaks against it.
    pub fn note_failure(&self, asked: Millis, declined: bool) {
        let mut s = self.status.lock().unwrap();
        if asked >= s.answered_at {
            s.asked_at = s.asked_at.max(asked);
            s.failing_since = s.failing_since.or(Some(asked));
            s.refused = declined;
        }
    }
}

/// What this node passed on as acknowledged in one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Acked {
    end: Position,
    /// Whoever chooses a new lead was told the end: nothing sent under a lower fence is passed on any more.
    told: FencingToken,
}

impl Registry {
    /// A commit that was sent under `fence` and ends here is about to be passed on as acknowledged. False if it must
    /// not be, as whether it is kept is not known: the end was told already to whoever chooses another lead, or the
    /// lead may be closed. Servers that stand still under a close may be let go by a word of an earlier one that comes
    /// late; what is passed on only before the close was on a replica before.
    #[must_use]
    pub fn record_acknowledged(&self, group: &str, fence: FencingToken, end: Position) -> bool {
        let mut all = self.acked.lock().unwrap();
        let a = all.entry(group.into()).or_default();
        let closed = !self.has_lease() || self.primary(group).is_some_and(|l| l.fence > fence);
        if (fence < a.told || closed) && !seam::injected_bug("acked-untold") {
            return false;
        }
        a.end = a.end.max(end);
        true
    }
    /// The end of all that this process passed on as acknowledged.
    pub fn acknowledged_end(&self, group: &str) -> Position {
        self.acked.lock().unwrap().get(group).map_or_else(Position::default, |a| a.end)
    }
    /// The same, and nothing sent under a lower fence than `fence` is passed on after this.
    pub fn seal_acknowledged(&self, group: &str, fence: FencingToken) -> Position {
        let mut all = self.acked.lock().unwrap();
        let a = all.entry(group.into()).or_default();
        a.told = a.told.max(fence);
        a.end
    }
}
