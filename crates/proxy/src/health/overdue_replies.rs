//! Detects overdue replies, and distinguishes a stall in a server's storage from a long query. This module does no I/O.
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// How a pending reply is monitored.
#[derive(Clone, Copy, Debug)]
pub struct PendingReply {
    /// The time after which the reply is late.
    pub timeout: Millis,
    /// The time after which the reply is overdue.
    pub query_timeout: Millis,
    /// Whether the route's queries are expected to take long; such a reply is never late.
    pub long_running: bool,
    /// Whether this is the first attempt of the request. A request that was retried from another server is likely a
    /// long query and is weaker evidence.
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

/// The numbers of replies on time and of late ones since lateness was last evaluated.
#[derive(Clone, Copy, Debug, Default)]
struct LatenessCounts {
    on_time: u64,
    late: u64,
}

/// Monitors the pending replies of one server. This is the only detector of a stall in storage.
#[derive(Clone, Debug, Default)]
pub struct OverdueReplies {
    pending: BTreeMap<u64, Pending>,
    last_answer: Millis,
    last_sent: Millis,
    lateness_evaluated_at: Millis,
    lateness_counts: LatenessCounts,
}

/// The shortest time between two evaluations of lateness.
const LATENESS_EVALUATION_INTERVAL: Millis = 1_000;
/// The number of first attempts that must be unanswered, each for `MIN_SILENCE`, before a late reply counts as a stall.
const MIN_UNANSWERED_FOR_STALL: usize = 5;
/// How long a first attempt must be unanswered to count towards a stall.
const MIN_SILENCE: Millis = 250;
/// The shortest time between a request to the server and a canary request.
const MIN_CANARY_INTERVAL: Millis = 60;
/// No canary request is sent while this many first attempts are pending.
const MAX_PENDING_FIRST_ATTEMPTS: usize = 4 * MIN_UNANSWERED_FOR_STALL;
/// A canary request may be sent once a reply has been pending for its timeout divided by this.
const CANARY_DELAY_DIVISOR: Millis = 4;

/// What the detector found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueFinding {
    /// A reply is past its query timeout.
    Overdue,
    /// A reply is late because the server stalls.
    Stall,
    /// More replies were late than on time.
    Late,
}

impl OverdueReplies {
    /// Records that request `id` was sent.
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

    /// Records an answer to request `id`. Any answer, late or on time, shows that the server is alive. Returns how long
    /// the answer took.
    pub fn record_answer(&mut self, now: Millis, id: u64) -> Option<Millis> {
        self.last_answer = self.last_answer.max(now);
        self.lateness_counts.on_time += 1;
        let answered_request = self.pending.remove(&id)?;
        Some(now.saturating_sub(answered_request.sent_at))
    }

    /// Discards the pending request `id`, whose connection has ended. This is no evidence of the server's health.
    pub fn discard(&mut self, id: u64) {
        self.pending.remove(&id);
    }

    /// Whether any request was answered within the last `period`.
    pub fn answered_within(&self, now: Millis, period: Millis) -> bool {
        self.last_answer > 0 && now < self.last_answer + period
    }

    /// Whether any request was answered after `at`.
    pub fn answered_since(&self, at: Millis) -> bool {
        self.last_answer > at
    }

    /// Returns the number of pending replies.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Whether a canary request is needed: a reply is getting late and no request was answered meanwhile, so there is a
    /// long query or a stall. A request sent now, with time left for a retry at another server, shows which of the two
    /// it is.
    pub fn needs_canary(&self, now: Millis) -> bool {
        let first_attempts = self.pending.values().filter(|pending| pending.first_attempt).count();
        now >= self.last_sent + MIN_CANARY_INTERVAL
            && first_attempts < MAX_PENDING_FIRST_ATTEMPTS
            && self.pending.values().any(|pending| self.may_need_canary(pending, now))
    }

    fn may_need_canary(&self, pending: &Pending, now: Millis) -> bool {
        let canary_delay = (pending.late_at - pending.sent_at) / CANARY_DELAY_DIVISOR;
        !pending.long_running
            && now >= pending.sent_at + canary_delay
            && now >= self.last_answer + canary_delay
    }

    /// Whether a reply is past its query timeout and no request was answered since it was sent.
    pub fn has_unanswered_overdue_reply(&self, now: Millis) -> bool {
        self.pending.values().any(|pending| now >= pending.overdue_at && self.last_answer <= pending.sent_at)
    }

    /// Returns the findings at `now`. Each pending reply is counted late at most once and overdue at most once.
    pub fn tick(&mut self, now: Millis) -> Vec<OverdueFinding> {
        let mut findings = Vec::new();
        self.find_overdue(now, &mut findings);
        self.find_stalls(now, &mut findings);
        self.evaluate_lateness(now, &mut findings);
        findings
    }

    fn find_overdue(&mut self, now: Millis, findings: &mut Vec<OverdueFinding>) {
        let before = self.pending.len();
        self.pending.retain(|_, pending| now < pending.overdue_at);
        let overdue = before - self.pending.len();
        findings.extend(std::iter::repeat_n(OverdueFinding::Overdue, overdue));
    }

    /// A late reply is due to a stall if no request was answered since it was sent or for half its timeout, and enough
    /// first attempts are unanswered. With fewer unanswered first attempts, the reply must be unanswered for twice its
    /// timeout.
    fn find_stalls(&mut self, now: Millis, findings: &mut Vec<OverdueFinding>) {
        let last_answer = self.last_answer;
        let enough_unanswered = self.unanswered_first_attempts(now) >= MIN_UNANSWERED_FOR_STALL;
        let late =
            self.pending.values_mut().filter(|pending| !pending.long_running && now >= pending.late_at);
        for pending in late {
            let timeout = pending.late_at - pending.sent_at;
            let is_silent = last_answer <= pending.sent_at || now >= last_answer + timeout / 2;
            let is_past_double_timeout = now >= pending.late_at + timeout && now >= last_answer + timeout;
            if is_silent && !pending.found_stalled && (enough_unanswered || is_past_double_timeout) {
                pending.found_stalled = true;
                findings.push(OverdueFinding::Stall);
            } else if !is_silent && !pending.counted_late && pending.first_attempt {
                pending.counted_late = true;
                self.lateness_counts.late += 1;
            }
        }
    }

    /// Returns the number of first attempts that were sent since the last answer and are unanswered for `MIN_SILENCE`.
    fn unanswered_first_attempts(&self, now: Millis) -> usize {
        let is_unanswered = |pending: &&Pending| {
            pending.first_attempt
                && !pending.long_running
                && pending.sent_at >= self.last_answer
                && now >= pending.sent_at + MIN_SILENCE
        };
        self.pending.values().filter(is_unanswered).count()
    }

    /// Replies that are late at the same time count as one finding, and only if they outnumber the replies on time: a
    /// few late replies among many on time are long queries.
    fn evaluate_lateness(&mut self, now: Millis, findings: &mut Vec<OverdueFinding>) {
        if self.lateness_counts.late == 0 || now < self.lateness_evaluated_at + LATENESS_EVALUATION_INTERVAL {
            return;
        }
        let lateness_counts = std::mem::take(&mut self.lateness_counts);
        self.lateness_evaluated_at = now;
        if lateness_counts.late > lateness_counts.on_time {
            findings.push(OverdueFinding::Late);
        }
    }
}

#[cfg(test)]
mod tests;
