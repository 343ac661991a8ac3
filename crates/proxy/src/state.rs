//! The verdict on one server (§4.5): judges' evidence is weighed into in rotation, set aside, on trial.
use crate::evidence::{ConnectionEnd, Evidence, HealthSignal};
use crate::overdue_replies::{Found, OverdueReplies};
use quincehatch_config::configuration::HealthSettings;
use quincehatch_core::{Millis, messages};
use std::collections::VecDeque;

/// A stall is held against a lead this long.
const STALLED_FOR: Millis = 10_000;
/// Turns kept for `quincehatchctl explain`.
const TURNS: usize = 64;

messages! {
    #[derive(Copy, Eq, Hash, Default)]
    pub enum HealthState { #[default] Healthy, Ejected, Probation }

    /// One change of a verdict with the evidence that made it.
    #[derive(Eq)]
    pub struct HealthTransition { pub at: Millis, pub to: HealthState, pub reason: String, pub evidence: Vec<Evidence> }
}

/// Everything one node holds on one server's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    pub state: HealthState,
    pub overdue: OverdueReplies,
    evidence: VecDeque<Evidence>,
    pub transitions: VecDeque<HealthTransition>,
    pub ejected_until: Millis,
    wait: Millis,
    good: u64,
    trying: Option<u64>,
    pub ejections: u64,
    /// When replies were first and last found owed and overdue with no answer since (§5.5).
    stall: Option<(Millis, Millis)>,
}

impl Health {
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }
    /// A server on trial takes one visit at a time (§4.5).
    pub fn accepts_probation_request(&self) -> bool {
        self.state == HealthState::Probation && self.trying.is_none()
    }

    fn turn(&mut self, now: Millis, to: HealthState, why: String) {
        self.state = to;
        let evidence = self.evidence.iter().copied().collect();
        self.transitions.push_back(HealthTransition { at: now, to, reason: why, evidence });
        if self.transitions.len() > TURNS {
            self.transitions.pop_front();
        }
    }

    fn eject(&mut self, now: Millis, j: &HealthSettings, why: String) {
        // A breakdown on trial doubles the wait, up to its bound; from rotation it starts anew.
        self.wait = match self.state {
            HealthState::Probation => (self.wait * 2).clamp(j.probation_after_ms, j.probation_after_max_ms),
            HealthState::Healthy => j.probation_after_ms,
            HealthState::Ejected => self.wait,
        };
        self.ejected_until = now + self.wait;
        self.good = 0;
        self.trying = None;
        self.ejections += 1;
        self.turn(now, HealthState::Ejected, why);
        self.evidence.clear();
    }

    /// The server was named to lead: orders go there whatever is held against it, and what was is no ground
    /// for the next change of hands (§5.5).
    pub fn note_assigned_primary(&mut self, now: Millis) {
        self.evidence.clear();
        self.trying = None;
        self.stall = None;
        if self.state != HealthState::Healthy {
            self.turn(now, HealthState::Healthy, "it was named to lead".into());
        }
    }

    /// Weighs one more piece of evidence.
    pub fn add_evidence(&mut self, now: Millis, j: &HealthSettings, sign: HealthSignal) {
        let weight = match sign {
            HealthSignal::Reset => j.reset_weight,
            HealthSignal::Silent => j.silent_weight,
            HealthSignal::Overdue | HealthSignal::Stall => j.overdue_weight,
            HealthSignal::Late => j.late_weight,
        };
        while self.evidence.front().is_some_and(|e| e.at + j.evidence_ms < now) {
            self.evidence.pop_front();
        }
        self.evidence.push_back(Evidence { signal: sign, weight, at: now });
        if self.evidence.len() > 32 {
            self.evidence.pop_front();
        }
        let sum: u64 = self.evidence.iter().map(|e| e.weight).sum();
        let trial = self.state == HealthState::Probation && sign != HealthSignal::Late;
        if self.state != HealthState::Ejected && (sum >= j.eject_at || trial) {
            self.eject(now, j, format!("{sign:?} brought the evidence to {sum} of {}", j.eject_at));
        }
    }

    /// A link came to its end.
    pub fn connection_ended(&mut self, now: Millis, j: &HealthSettings, e: ConnectionEnd) {
        match e {
            ConnectionEnd::Graceful => {}
            ConnectionEnd::Reset => self.add_evidence(now, j, HealthSignal::Reset),
            ConnectionEnd::Unresponsive => self.add_evidence(now, j, HealthSignal::Silent),
        }
    }

    /// For how long has it stalled? Any answer ends a stall.
    pub fn stalled_for(&self, now: Millis) -> Option<Millis> {
        let live = |(first, last): &(Millis, Millis)| {
            now < last + STALLED_FOR && !self.overdue.answered_since(*first)
        };
        self.stall.filter(live).map(|(first, _)| now - first)
    }

    /// Time passes: replies become overdue.
    pub fn tick(&mut self, now: Millis, j: &HealthSettings) {
        // A reply that was lost on the way becomes overdue long after the server answered others: that is no stall.
        let silent = self.overdue.silent_past_query_timeout(now);
        for f in self.overdue.tick(now) {
            if f == Found::Stall || (f == Found::Overdue && silent) {
                let first = self.stalled_for(now).map_or(now, |ms| now - ms);
                self.stall = Some((first, now));
            }
            let sign = match f {
                Found::Overdue => HealthSignal::Overdue,
                Found::Stall => HealthSignal::Stall,
                Found::Late => HealthSignal::Late,
            };
            self.add_evidence(now, j, sign);
        }
    }

    /// STATUS answered and was fresh: once the wait is over the server goes on trial.
    pub fn status_succeeded(&mut self, now: Millis) {
        if self.state == HealthState::Ejected && now >= self.ejected_until {
            self.good = 0;
            self.trying = None;
            self.turn(now, HealthState::Probation, "the wait is over and STATUS is fresh".into());
        }
    }

    /// An origin's lookup `id` goes to a server on trial.
    pub fn begin_probation_request(&mut self, id: u64) {
        if self.state == HealthState::Probation {
            self.trying = Some(id);
        }
    }

    /// A visit ended well.
    pub fn request_succeeded(&mut self, now: Millis, j: &HealthSettings, id: u64) {
        self.overdue.record_answer(now, id);
        if self.state == HealthState::Probation && self.trying == Some(id) {
            self.trying = None;
            self.good += 1;
            if self.good >= j.probation_successes {
                self.evidence.clear();
                self.turn(now, HealthState::Healthy, format!("{} good lookups on trial", self.good));
            }
        }
    }

    /// The visit went elsewhere for a reason that says nothing of health (held too long, stale).
    pub fn request_inconclusive(&mut self, id: u64) {
        self.overdue.forget(id);
        if self.trying == Some(id) {
            self.trying = None;
        }
    }

    /// A trial visit was not answered in the time kept for it.
    pub fn probation_failed(&mut self, now: Millis, j: &HealthSettings, id: u64) {
        if self.state == HealthState::Probation && self.trying == Some(id) {
            self.eject(now, j, "a lookup on trial was not answered in time".into());
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
        h.connection_ended(100, &j, ConnectionEnd::Reset);
        assert_eq!(h.state, HealthState::Ejected);
        h.status_succeeded(100 + j.probation_after_ms - 1);
        assert_eq!(h.state, HealthState::Ejected);
        h.status_succeeded(100 + j.probation_after_ms);
        assert!(h.accepts_probation_request());
        for id in 1..=j.probation_successes {
            h.begin_probation_request(id);
            assert!(!h.accepts_probation_request(), "one visit at a time");
            h.request_succeeded(40_000, &j, id);
        }
        assert!(h.is_healthy());
        assert_eq!(h.transitions.len(), 3);
    }

    #[test]
    fn a_bad_trial_doubles_the_wait_up_to_its_bound() {
        let (j, mut h) = (judges(), Health::default());
        let mut now = 0;
        h.connection_ended(now, &j, ConnectionEnd::Unresponsive);
        let mut waits = vec![];
        for _ in 0..5 {
            waits.push(h.ejected_until - now);
            now = h.ejected_until;
            h.status_succeeded(now);
            h.begin_probation_request(7);
            h.probation_failed(now, &j, 7);
        }
        assert_eq!(waits, [30_000, 60_000, 120_000, 240_000, 240_000]);
    }

    #[test]
    fn late_replies_alone_need_many_within_the_window() {
        let (j, mut h) = (judges(), Health::default());
        for i in 0..4 {
            h.add_evidence(i * 11_000, &j, HealthSignal::Late);
        }
        assert!(h.is_healthy());
        for i in 0..5 {
            h.add_evidence(60_000 + i, &j, HealthSignal::Late);
        }
        assert_eq!(h.state, HealthState::Ejected);
    }
}
