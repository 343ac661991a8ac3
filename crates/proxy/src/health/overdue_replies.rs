//! Detects replies that are overdue: sees a stall in a server's storage and tells it from a long query. Without I/O.
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// How a pending reply is watched.
#[derive(Clone, Copy, Debug)]
pub struct PendingReply {
    /// After this time the reply is late.
    pub timeout: Millis,
    /// After this time the reply is overdue.
    pub query_timeout: Millis,
    /// The route's queries are known to take long: the reply is never late.
    pub long_running: bool,
    /// The request's first server: a request that was retried from elsewhere is likely a long query and says less.
    pub first_attempt: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent_at: Millis,
    late_at: Millis,
    overdue_at: Millis,
    long_running: bool,
    first_attempt: bool,
    counted_late: bool,
    found_stalled: bool,
}

/// Replies in time, and late ones, since lateness was last weighed.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: u64,
    late: u64,
}

/// Watches the replies that one server has pending: the only detector that sees a stall in storage.
#[derive(Clone, Debug, Default)]
pub struct OverdueReplies {
    pending: BTreeMap<u64, Pending>,
    last_answer: Millis,
    last_sent: Millis,
    lateness_weighed_at: Millis,
    tally: Tally,
}

/// Lateness is weighed no more often than this.
const LATE_GAP: Millis = 1_000;
/// So many first attempts must be unanswered, each for `SILENCE`, before the silence counts as a stall.
const STALL_WITNESSES: usize = 5;
/// How long a first attempt must be unanswered to count.
const SILENCE: Millis = 250;
/// Canary requests are sent no closer together.
const CANARY_GAP: Millis = 60;
/// No canary is sent while so many first attempts are pending.
const MAX_FIRST_ATTEMPTS: usize = 4 * STALL_WITNESSES;
/// A reply is getting late after this part of its time.
const GETTING_LATE_DIVISOR: Millis = 4;

/// What was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueFinding {
    /// A reply is past its query timeout.
    Overdue,
    /// A late reply is due to a stall.
    Stall,
    /// More replies were late than in time.
    Late,
}

impl OverdueReplies {
    /// Request `id` was sent.
    pub fn record_sent(&mut self, now: Millis, id: u64, reply: PendingReply) {
        let pending = Pending {
            sent_at: now,
            late_at: now + reply.timeout,
            overdue_at: now + reply.query_timeout,
            long_running: reply.long_running,
            first_attempt: reply.first_attempt,
            counted_late: false,
            found_stalled: false,
        };
        self.last_sent = now;
        self.pending.insert(id, pending);
    }

    /// Any answer, late or in time, shows that the server is alive. Returns how long it took.
    pub fn record_answer(&mut self, now: Millis, id: u64) -> Option<Millis> {
        self.last_answer = self.last_answer.max(now);
        self.tally.in_time += 1;
        let answered = self.pending.remove(&id)?;
        Some(now.saturating_sub(answered.sent_at))
    }

    /// The connection is known to be gone: no reply is pending on it any more, and that shows nothing.
    pub fn forget(&mut self, id: u64) {
        self.pending.remove(&id);
    }

    /// Whether anything was answered within the last `period`.
    pub fn answered_within(&self, now: Millis, period: Millis) -> bool {
        self.last_answer > 0 && now < self.last_answer + period
    }

    /// Whether anything was answered since `at`.
    pub fn answered_since(&self, at: Millis) -> bool {
        self.last_answer > at
    }

    /// How many replies are pending.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Whether a canary request would help: some reply is getting late and nothing was answered meanwhile, which is a
    /// long query or a stall. A request that goes there now, with time left to be retried elsewhere, tells them apart.
    pub fn wants_canary(&self, now: Millis) -> bool {
        let first_attempts = self.pending.values().filter(|pending| pending.first_attempt).count();
        now >= self.last_sent + CANARY_GAP
            && first_attempts < MAX_FIRST_ATTEMPTS
            && self.pending.values().any(|pending| self.is_getting_late(pending, now))
    }

    fn is_getting_late(&self, pending: &Pending, now: Millis) -> bool {
        let part = (pending.late_at - pending.sent_at) / GETTING_LATE_DIVISOR;
        !pending.long_running && now >= pending.sent_at + part && now >= self.last_answer + part
    }

    /// Whether a reply is past its query timeout and nothing was answered since it was sent.
    pub fn silent_past_query_timeout(&self, now: Millis) -> bool {
        self.pending.values().any(|pending| now >= pending.overdue_at && self.last_answer <= pending.sent_at)
    }

    /// What is found at `now`; each pending reply is counted late once and overdue once.
    pub fn tick(&mut self, now: Millis) -> Vec<OverdueFinding> {
        let mut findings = Vec::new();
        self.find_overdue(now, &mut findings);
        self.find_stalls(now, &mut findings);
        self.weigh_lateness(now, &mut findings);
        findings
    }

    fn find_overdue(&mut self, now: Millis, findings: &mut Vec<OverdueFinding>) {
        let before = self.pending.len();
        self.pending.retain(|_, pending| now < pending.overdue_at);
        let overdue = before - self.pending.len();
        findings.extend(std::iter::repeat_n(OverdueFinding::Overdue, overdue));
    }

    /// A late reply is due to a stall if nothing was answered since it was sent, or for half its time by now, and enough
    /// first attempts are unanswered too; with fewer of them it must be unanswered for twice its time.
    fn find_stalls(&mut self, now: Millis, findings: &mut Vec<OverdueFinding>) {
        let last_answer = self.last_answer;
        let enough_witnesses = self.unanswered_first_attempts(now) >= STALL_WITNESSES;
        let late =
            self.pending.values_mut().filter(|pending| !pending.long_running && now >= pending.late_at);
        for pending in late {
            let timeout = pending.late_at - pending.sent_at;
            let is_silent = last_answer <= pending.sent_at || now >= last_answer + timeout / 2;
            let twice_its_time = now >= pending.late_at + timeout && now >= last_answer + timeout;
            if is_silent && !pending.found_stalled && (enough_witnesses || twice_its_time) {
                pending.found_stalled = true;
                findings.push(OverdueFinding::Stall);
            } else if !is_silent && !pending.counted_late && pending.first_attempt {
                pending.counted_late = true;
                self.tally.late += 1;
            }
        }
    }

    /// First attempts that were sent since the last answer and have been unanswered for a while.
    fn unanswered_first_attempts(&self, now: Millis) -> usize {
        let is_unanswered = |pending: &&Pending| {
            pending.first_attempt
                && !pending.long_running
                && pending.sent_at >= self.last_answer
                && now >= pending.sent_at + SILENCE
        };
        self.pending.values().filter(is_unanswered).count()
    }

    /// Many replies that are late at one time are one finding; a few among many in time are long queries.
    fn weigh_lateness(&mut self, now: Millis, findings: &mut Vec<OverdueFinding>) {
        if self.tally.late == 0 || now < self.lateness_weighed_at + LATE_GAP {
            return;
        }
        let tally = std::mem::take(&mut self.tally);
        self.lateness_weighed_at = now;
        if tally.late > tally.in_time {
            findings.push(OverdueFinding::Late);
        }
    }
}

#[cfg(test)]
mod tests;
