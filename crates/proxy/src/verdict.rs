//! The verdict on one server (§4.5): judges' evidence is weighed into in rotation, set aside, on trial.
use crate::judge::{Ending, Evidence, Sign};
use crate::overdue::{Found, Overdue};
use quincehatch_config::configuration::HealthSettings;
use quincehatch_core::{Millis, messages};
use std::collections::VecDeque;

/// A stall is held against a lead this long.
const STALLED_FOR: Millis = 10_000;
/// Turns kept for `quincehatchctl explain`.
const TURNS: usize = 64;

messages! {
    #[derive(Copy, Eq, Hash, Default)]
    pub enum Verdict { #[default] InRotation, SetAside, OnTrial }

    /// One change of a verdict with the evidence that made it.
    #[derive(Eq)]
    pub struct Turn { pub at: Millis, pub to: Verdict, pub why: String, pub evidence: Vec<Evidence> }
}

/// Everything one node holds on one server's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    pub verdict: Verdict,
    pub overdue: Overdue,
    evidence: VecDeque<Evidence>,
    pub turns: VecDeque<Turn>,
    pub until: Millis,
    wait: Millis,
    good: u64,
    trying: Option<u64>,
    pub asides: u64,
    /// When replies were first and last found owed and overdue with no answer since (§5.5).
    stall: Option<(Millis, Millis)>,
}

impl Health {
    pub fn may_serve(&self) -> bool {
        self.verdict == Verdict::InRotation
    }
    /// A server on trial takes one visit at a time (§4.5).
    pub fn may_try(&self) -> bool {
        self.verdict == Verdict::OnTrial && self.trying.is_none()
    }

    fn turn(&mut self, now: Millis, to: Verdict, why: String) {
        self.verdict = to;
        let evidence = self.evidence.iter().copied().collect();
        self.turns.push_back(Turn { at: now, to, why, evidence });
        if self.turns.len() > TURNS {
            self.turns.pop_front();
        }
    }

    fn aside(&mut self, now: Millis, j: &HealthSettings, why: String) {
        // A breakdown on trial doubles the wait, up to its bound; from rotation it starts anew.
        self.wait = match self.verdict {
            Verdict::OnTrial => (self.wait * 2).clamp(j.probation_after_ms, j.probation_after_max_ms),
            Verdict::InRotation => j.probation_after_ms,
            Verdict::SetAside => self.wait,
        };
        self.until = now + self.wait;
        self.good = 0;
        self.trying = None;
        self.asides += 1;
        self.turn(now, Verdict::SetAside, why);
        self.evidence.clear();
    }

    /// The server was named to lead: orders go there whatever is held against it, and what was is no ground
    /// for the next change of hands (§5.5).
    pub fn named(&mut self, now: Millis) {
        self.evidence.clear();
        self.trying = None;
        self.stall = None;
        if self.verdict != Verdict::InRotation {
            self.turn(now, Verdict::InRotation, "it was named to lead".into());
        }
    }

    /// Weighs one more piece of evidence.
    pub fn weigh(&mut self, now: Millis, j: &HealthSettings, sign: Sign) {
        let weight = match sign {
            Sign::Reset => j.reset_weight,
            Sign::Silent => j.silent_weight,
            Sign::Overdue | Sign::Stall => j.overdue_weight,
            Sign::Late => j.late_weight,
        };
        while self.evidence.front().is_some_and(|e| e.at + j.evidence_ms < now) {
            self.evidence.pop_front();
        }
        self.evidence.push_back(Evidence { sign, weight, at: now });
        if self.evidence.len() > 32 {
            self.evidence.pop_front();
        }
        let sum: u64 = self.evidence.iter().map(|e| e.weight).sum();
        let trial = self.verdict == Verdict::OnTrial && sign != Sign::Late;
        if self.verdict != Verdict::SetAside && (sum >= j.eject_at || trial) {
            self.aside(now, j, format!("{sign:?} brought the evidence to {sum} of {}", j.eject_at));
        }
    }

    /// A link came to its end.
    pub fn ended(&mut self, now: Millis, j: &HealthSettings, e: Ending) {
        match e {
            Ending::InOrder => {}
            Ending::Reset => self.weigh(now, j, Sign::Reset),
            Ending::Silent => self.weigh(now, j, Sign::Silent),
        }
    }

    /// For how long has it stalled? Any answer ends a stall.
    pub fn stalled(&self, now: Millis) -> Option<Millis> {
        let live =
            |(first, last): &(Millis, Millis)| now < last + STALLED_FOR && !self.overdue.answered_since(*first);
        self.stall.filter(live).map(|(first, _)| now - first)
    }

    /// Time passes: replies become overdue.
    pub fn tick(&mut self, now: Millis, j: &HealthSettings) {
        // A reply that was lost on the way becomes overdue long after the server answered others: that is no stall.
        let silent = self.overdue.silent_past_query_timeout(now);
        for f in self.overdue.tick(now) {
            if f == Found::Stall || (f == Found::Overdue && silent) {
                let first = self.stalled(now).map_or(now, |ms| now - ms);
                self.stall = Some((first, now));
            }
            let sign = match f {
                Found::Overdue => Sign::Overdue,
                Found::Stall => Sign::Stall,
                Found::Late => Sign::Late,
            };
            self.weigh(now, j, sign);
        }
    }

    /// STATUS answered and was fresh: once the wait is over the server goes on trial.
    pub fn status_good(&mut self, now: Millis) {
        if self.verdict == Verdict::SetAside && now >= self.until {
            self.good = 0;
            self.trying = None;
            self.turn(now, Verdict::OnTrial, "the wait is over and STATUS is fresh".into());
        }
    }

    /// An origin's lookup `id` goes to a server on trial.
    pub fn try_with(&mut self, id: u64) {
        if self.verdict == Verdict::OnTrial {
            self.trying = Some(id);
        }
    }

    /// A visit ended well.
    pub fn good(&mut self, now: Millis, j: &HealthSettings, id: u64) {
        self.overdue.answered(now, id);
        if self.verdict == Verdict::OnTrial && self.trying == Some(id) {
            self.trying = None;
            self.good += 1;
            if self.good >= j.probation_successes {
                self.evidence.clear();
                self.turn(now, Verdict::InRotation, format!("{} good lookups on trial", self.good));
            }
        }
    }

    /// The visit went elsewhere for a reason that says nothing of health (held too long, stale).
    pub fn no_matter(&mut self, id: u64) {
        self.overdue.gone(id);
        if self.trying == Some(id) {
            self.trying = None;
        }
    }

    /// A trial visit was not answered in the time kept for it.
    pub fn trial_failed(&mut self, now: Millis, j: &HealthSettings, id: u64) {
        if self.verdict == Verdict::OnTrial && self.trying == Some(id) {
            self.aside(now, j, "a lookup on trial was not answered in time".into());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quincehatch_config::configuration::Configuration;

    fn judges() -> HealthSettings {
        Configuration::parse("[[placements]]\nname=\"a\"\nselect={group=[\"g\"]}\n").unwrap().health
    }

    #[test]
    fn a_reset_sets_aside_at_once_and_a_trial_brings_back() {
        let (j, mut h) = (judges(), Health::default());
        h.ended(100, &j, Ending::Reset);
        assert_eq!(h.verdict, Verdict::SetAside);
        h.status_good(100 + j.probation_after_ms - 1);
        assert_eq!(h.verdict, Verdict::SetAside);
        h.status_good(100 + j.probation_after_ms);
        assert!(h.may_try());
        for id in 1..=j.probation_successes {
            h.try_with(id);
            assert!(!h.may_try(), "one visit at a time");
            h.good(40_000, &j, id);
        }
        assert!(h.may_serve());
        assert_eq!(h.turns.len(), 3);
    }

    #[test]
    fn a_bad_trial_doubles_the_wait_up_to_its_bound() {
        let (j, mut h) = (judges(), Health::default());
        let mut now = 0;
        h.ended(now, &j, Ending::Silent);
        let mut waits = vec![];
        for _ in 0..5 {
            waits.push(h.until - now);
            now = h.until;
            h.status_good(now);
            h.try_with(7);
            h.trial_failed(now, &j, 7);
        }
        assert_eq!(waits, [30_000, 60_000, 120_000, 240_000, 240_000]);
    }

    #[test]
    fn late_replies_alone_need_many_within_the_window() {
        let (j, mut h) = (judges(), Health::default());
        for i in 0..4 {
            h.weigh(i * 11_000, &j, Sign::Late);
        }
        assert!(h.may_serve());
        for i in 0..5 {
            h.weigh(60_000 + i, &j, Sign::Late);
        }
        assert_eq!(h.verdict, Verdict::SetAside);
    }
}
