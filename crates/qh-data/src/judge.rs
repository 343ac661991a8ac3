//! The judges (§4.5): small, independent, each looking at one sign of a server's health. Sans-IO.
use qh_core::{Ms, messages};
use std::collections::BTreeMap;

messages! {
    #[derive(Copy, Eq, Hash)]
    pub enum Sign { Reset, Silent, Overdue, Stall, Late }

    /// What a judge says, and when.
    #[derive(Copy, Eq)]
    pub struct Evidence { pub sign: Sign, pub weight: u64, pub at: Ms }
}

/// How a link came to its end, as the kernel or the server told it (§4.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// We closed it, or the server closed an idle link after it said that it leaves.
    InOrder,
    /// Reset, declined, or closed in mid-visit.
    Reset,
    /// Keep-alive or user timeout: the kernel's own finding.
    Silent,
}

/// Tells the endings apart. A close with nothing owed by a server that said it leaves is in order.
pub fn ending(e: &std::io::Error, owing: bool, leaving: bool) -> Ending {
    use std::io::ErrorKind as K;
    match e.kind() {
        K::TimedOut | K::HostUnreachable | K::NetworkUnreachable => Ending::Silent,
        _ if !owing && leaving => Ending::InOrder,
        _ => Ending::Reset,
    }
}

/// A reply that is owed.
#[derive(Clone, Copy, Debug)]
struct Owed {
    sent: Ms,
    late_at: Ms,
    overdue_at: Ms,
    long: bool,
    told: bool,
    stalled: bool,
}

/// Watches replies owed by one server: the only layer that sees a stall in storage (§4.5).
#[derive(Clone, Debug, Default)]
pub struct Overdue {
    owed: BTreeMap<u64, Owed>,
    last_answer: Ms,
    late_told: Ms,
    /// Replies in time, and late ones, since lateness was last weighed.
    tally: (u64, u64),
}

/// Late replies closer together than this are one sign.
const LATE_GAP: Ms = 1_000;

/// What the overdue judge found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Overdue,
    Stall,
    Late,
}

impl Overdue {
    pub fn sent(&mut self, now: Ms, id: u64, timeout: Ms, query_timeout: Ms, long: bool) {
        let o = Owed {
            sent: now,
            late_at: now + timeout,
            overdue_at: now + query_timeout,
            long,
            told: false,
            stalled: false,
        };
        self.owed.insert(id, o);
    }
    /// Any answer, late or in time, is a sign of life on that link.
    pub fn answered(&mut self, now: Ms, id: u64) -> Option<Ms> {
        self.last_answer = self.last_answer.max(now);
        self.tally.0 += 1;
        self.owed.remove(&id).map(|o| now.saturating_sub(o.sent))
    }
    /// The link is known gone: nothing is owed on it any more, and that is no sign of life.
    pub fn gone(&mut self, id: u64) {
        self.owed.remove(&id);
    }
    /// Was anything answered within the last `ms`?
    pub fn answered_within(&self, now: Ms, ms: Ms) -> bool {
        self.last_answer > 0 && now < self.last_answer + ms
    }
    pub fn answered_since(&self, at: Ms) -> bool {
        self.last_answer > at
    }
    pub fn owing(&self) -> usize {
        self.owed.len()
    }

    /// What is overdue at `now`; each owed reply is told late once and overdue once.
    pub fn tick(&mut self, now: Ms) -> Vec<Found> {
        let mut out = Vec::new();
        let done: Vec<u64> = self.owed.iter().filter(|(_, o)| now >= o.overdue_at).map(|(i, _)| *i).collect();
        for id in done {
            self.owed.remove(&id);
            out.push(Found::Overdue);
        }
        // Every link that owes is silent: nothing was answered since the late visit was sent, or for half its
        // time by now, and more than one link owes; a lone link must never have had an answer beside it and be
        // silent for twice its time (§4.5).
        let answered = self.last_answer;
        let owing = self.owed.len();
        for o in self.owed.values_mut().filter(|o| !o.long && now >= o.late_at) {
            let time = o.late_at - o.sent;
            let silent = answered <= o.sent || (owing > 1 && now >= answered + time / 2);
            let twice = now >= o.late_at + time;
            if silent && !o.stalled && (owing > 1 || twice) {
                o.stalled = true;
                out.push(Found::Stall);
            } else if !silent && !o.told {
                o.told = true;
                self.tally.1 += 1;
            }
        }
        // Many that are late at one time are one sign; a few among many in time are long queries.
        if self.tally.1 > 0 && now >= self.late_told + LATE_GAP {
            let (good, late) = std::mem::take(&mut self.tally);
            self.late_told = now;
            if late > good {
                out.push(Found::Late);
            }
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_slow_reply_among_answers_is_a_long_query() {
        let mut j = Overdue::default();
        j.sent(0, 1, 1_000, 30_000, false);
        j.sent(500, 2, 1_000, 30_000, false);
        j.answered(600, 2);
        assert_eq!(j.tick(999), vec![]);
        assert_eq!(j.tick(1_000), vec![], "as many were in time: it is a long query");
        assert_eq!(j.tick(29_999), vec![]);
        assert_eq!(j.tick(30_000), vec![Found::Overdue]);
    }

    #[test]
    fn a_server_that_is_late_more_often_than_not_is_slow() {
        let mut j = Overdue::default();
        for id in 1..=4 {
            j.sent(0, id, 1_000, 30_000, false);
        }
        j.answered(990, 4);
        assert_eq!(j.tick(1_000), vec![Found::Late]);
    }

    #[test]
    fn every_owing_link_silent_is_a_stall() {
        let mut j = Overdue::default();
        j.answered(5, 9);
        j.sent(10, 1, 1_000, 30_000, false);
        j.sent(20, 2, 1_000, 30_000, false);
        assert_eq!(j.tick(1_010), vec![Found::Stall]);
    }

    #[test]
    fn a_stall_that_began_after_other_answers_is_still_seen() {
        let mut j = Overdue::default();
        for id in 1..=4 {
            j.sent(0, id, 1_000, 30_000, false);
        }
        j.answered(600, 4);
        assert_eq!(j.tick(1_000), vec![Found::Late]);
        assert_eq!(j.tick(1_099), vec![]);
        assert_eq!(j.tick(1_100), vec![Found::Stall; 3]);
        assert_eq!(j.tick(1_200), vec![]);
    }

    #[test]
    fn a_lone_link_has_twice_its_time() {
        let mut j = Overdue::default();
        j.sent(0, 1, 1_000, 30_000, false);
        assert_eq!(j.tick(1_999), vec![]);
        assert_eq!(j.tick(2_000), vec![Found::Stall]);
    }

    #[test]
    fn a_long_rule_owes_only_at_its_query_timeout() {
        let mut j = Overdue::default();
        j.sent(0, 1, 1_000, 20_000, true);
        j.sent(0, 2, 1_000, 20_000, true);
        assert_eq!(j.tick(19_999), vec![]);
        assert_eq!(j.tick(20_000), vec![Found::Overdue, Found::Overdue]);
    }

    #[test]
    fn a_close_in_order_is_no_reset() {
        let closed = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        assert_eq!(ending(&closed, false, true), Ending::InOrder);
        assert_eq!(ending(&closed, true, true), Ending::Reset);
        assert_eq!(ending(&closed, false, false), Ending::Reset);
        let silent = std::io::Error::from(std::io::ErrorKind::TimedOut);
        assert_eq!(ending(&silent, false, true), Ending::Silent);
    }
}
