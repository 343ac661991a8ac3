//! The judge of replies that are owed (§4.5): sees a stall in storage, and tells it from a long query. Sans-IO.
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// A reply that is owed.
#[derive(Clone, Copy, Debug)]
struct Owed {
    sent: Millis,
    late_at: Millis,
    overdue_at: Millis,
    long: bool,
    /// The visit's first server: one that was carried on from elsewhere is likely long, and says less.
    first: bool,
    told: bool,
    stalled: bool,
}

/// How a reply is watched.
#[derive(Clone, Copy, Debug)]
pub struct PendingReply {
    pub timeout: Millis,
    pub query_timeout: Millis,
    pub long_running: bool,
    pub first: bool,
}

/// Watches replies owed by one server: the only layer that sees a stall in storage (§4.5).
#[derive(Clone, Debug, Default)]
pub struct OverdueReplies {
    owed: BTreeMap<u64, Owed>,
    last_answer: Millis,
    last_sent: Millis,
    late_told: Millis,
    /// Replies in time, and late ones, since lateness was last weighed.
    tally: (u64, u64),
}

/// Late replies closer together than this are one sign.
const LATE_GAP: Millis = 1_000;
/// So many first visits must be silent, each for so long, before silence is a stall's.
const WITNESSES: usize = 5;
const SILENT: Millis = 250;
/// Witnesses are sent no closer together.
const WITNESS_GAP: Millis = 60;

/// What the overdue judge found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Overdue,
    Stall,
    Late,
}

impl OverdueReplies {
    pub fn record_sent(&mut self, now: Millis, id: u64, w: PendingReply) {
        let o = Owed {
            sent: now,
            late_at: now + w.timeout,
            overdue_at: now + w.query_timeout,
            long: w.long_running,
            first: w.first,
            told: false,
            stalled: false,
        };
        self.last_sent = now;
        self.owed.insert(id, o);
    }
    /// Any answer, late or in time, is a sign of life on that link.
    pub fn record_answer(&mut self, now: Millis, id: u64) -> Option<Millis> {
        self.last_answer = self.last_answer.max(now);
        self.tally.0 += 1;
        self.owed.remove(&id).map(|o| now.saturating_sub(o.sent))
    }
    /// The link is known gone: nothing is owed on it any more, and that is no sign of life.
    pub fn forget(&mut self, id: u64) {
        self.owed.remove(&id);
    }
    /// Was anything answered within the last `ms`?
    pub fn answered_within(&self, now: Millis, ms: Millis) -> bool {
        self.last_answer > 0 && now < self.last_answer + ms
    }
    pub fn answered_since(&self, at: Millis) -> bool {
        self.last_answer > at
    }
    pub fn pending_count(&self) -> usize {
        self.owed.len()
    }

    /// First visits that got no answer since, and neither did anyone.
    fn witnesses(&self, now: Millis) -> usize {
        let silent = |o: &&Owed| o.first && !o.long && o.sent >= self.last_answer && now >= o.sent + SILENT;
        self.owed.values().filter(silent).count()
    }
    /// Some reply is getting late and nothing was answered meanwhile: is it long, or does the server stall? A visit
    /// that goes there now, with time kept to go elsewhere, tells (§4.5).
    pub fn wants_canary(&self, now: Millis) -> bool {
        let getting_late = |o: &Owed| {
            let quarter = (o.late_at - o.sent) / 4;
            !o.long && now >= o.sent + quarter && now >= self.last_answer + quarter
        };
        now >= self.last_sent + WITNESS_GAP
            && self.owed.values().filter(|o| o.first).count() < 4 * WITNESSES
            && self.owed.values().any(getting_late)
    }

    /// Is a reply past its query timeout, and was nothing answered since it was sent?
    pub fn silent_past_query_timeout(&self, now: Millis) -> bool {
        self.owed.values().any(|o| now >= o.overdue_at && self.last_answer <= o.sent)
    }

    /// What is overdue at `now`; each owed reply is told late once and overdue once.
    pub fn tick(&mut self, now: Millis) -> Vec<Found> {
        let mut out = Vec::new();
        let done: Vec<u64> = self.owed.iter().filter(|(_, o)| now >= o.overdue_at).map(|(i, _)| *i).collect();
        for id in done {
            self.owed.remove(&id);
            out.push(Found::Overdue);
        }
        // A late reply is a stall's if nothing was answered since it was sent, or for half its time by now, and
        // enough witnesses are silent too; with fewer it must be silent for twice its time (§4.5).
        let answered = self.last_answer;
        let enough = self.witnesses(now) >= WITNESSES;
        for o in self.owed.values_mut().filter(|o| !o.long && now >= o.late_at) {
            let time = o.late_at - o.sent;
            let silent = answered <= o.sent || now >= answered + time / 2;
            let twice = now >= o.late_at + time && now >= answered + time;
            if silent && !o.stalled && (enough || twice) {
                o.stalled = true;
                out.push(Found::Stall);
            } else if !silent && !o.told && o.first {
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

    fn owe(timeout: Millis, query_timeout: Millis, long: bool) -> PendingReply {
        PendingReply { timeout, query_timeout, long_running: long, first: true }
    }
    fn sent(j: &mut OverdueReplies, now: Millis, ids: std::ops::RangeInclusive<u64>) {
        ids.for_each(|id| j.record_sent(now, id, owe(1_000, 30_000, false)));
    }

    #[test]
    fn one_slow_reply_among_answers_is_a_long_query() {
        let mut j = OverdueReplies::default();
        sent(&mut j, 0, 1..=1);
        sent(&mut j, 500, 2..=2);
        j.record_answer(600, 2);
        assert_eq!(j.tick(999), vec![]);
        assert_eq!(j.tick(1_000), vec![], "as many were in time: it is a long query");
        assert_eq!(j.tick(1_599), vec![]);
        assert_eq!(j.tick(30_000), vec![Found::Overdue]);
    }

    #[test]
    fn a_server_that_is_late_more_often_than_not_is_slow() {
        let mut j = OverdueReplies::default();
        sent(&mut j, 0, 1..=4);
        j.record_answer(990, 4);
        assert_eq!(j.tick(1_000), vec![Found::Late]);
    }

    #[test]
    fn silence_is_a_stall_only_with_enough_witnesses() {
        for n in [WITNESSES - 1, WITNESSES] {
            let mut j = OverdueReplies::default();
            j.record_answer(5, 99);
            sent(&mut j, 10, 1..=1);
            assert!(!j.wants_canary(200) && j.wants_canary(300));
            sent(&mut j, 300, 2..=n as u64);
            assert!(!j.wants_canary(310), "one at a time");
            assert_eq!(j.tick(1_009), vec![]);
            let found = j.tick(1_010);
            assert_eq!(found.contains(&Found::Stall), n == WITNESSES);
        }
    }

    #[test]
    fn a_witness_that_is_answered_makes_it_a_long_query() {
        let mut j = OverdueReplies::default();
        sent(&mut j, 0, 1..=WITNESSES as u64);
        sent(&mut j, 700, 9..=9);
        j.record_answer(702, 9);
        assert!(!j.tick(1_000).contains(&Found::Stall));
        assert!(!j.wants_canary(800));
    }

    #[test]
    fn carried_visits_are_no_witnesses_and_no_sign_of_slowness() {
        let mut j = OverdueReplies::default();
        for id in 1..=20 {
            j.record_sent(0, id, PendingReply { first: false, ..owe(1_000, 30_000, false) });
        }
        assert_eq!(j.tick(1_500), vec![]);
        j.record_answer(1_600, 1);
        assert_eq!(j.tick(1_700), vec![]);
    }

    #[test]
    fn a_stall_that_began_after_other_answers_is_still_seen() {
        let mut j = OverdueReplies::default();
        sent(&mut j, 0, 1..=3);
        sent(&mut j, 600, 4..=4);
        j.record_answer(601, 4);
        sent(&mut j, 610, 5..=12);
        assert_eq!(j.tick(1_000), vec![Found::Late]);
        assert_eq!(j.tick(1_100), vec![]);
        assert_eq!(j.tick(1_101), vec![Found::Stall; 3]);
        assert_eq!(j.tick(1_200), vec![]);
    }

    #[test]
    fn a_lone_link_has_twice_its_time() {
        let mut j = OverdueReplies::default();
        sent(&mut j, 0, 1..=1);
        assert_eq!(j.tick(1_999), vec![]);
        assert_eq!(j.tick(2_000), vec![Found::Stall]);
    }

    #[test]
    fn a_long_rule_owes_only_at_its_query_timeout() {
        let mut j = OverdueReplies::default();
        j.record_sent(0, 1, owe(1_000, 20_000, true));
        j.record_sent(0, 2, owe(1_000, 20_000, true));
        assert!(!j.wants_canary(900));
        assert_eq!(j.tick(19_999), vec![]);
        assert_eq!(j.tick(20_000), vec![Found::Overdue, Found::Overdue]);
    }
}
