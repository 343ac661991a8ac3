//! The health state of one server: evidence is weighed into healthy, ejected or on probation. Without I/O.
use crate::health::evidence::{ConnectionEnd, Evidence, HealthSignal};
use crate::health::overdue_replies::{OverdueFinding, OverdueReplies};
use crate::health::readmission::GroupHealth;
use quincehatch_config::configuration::HealthSettings;
use quincehatch_core::{Millis, messages};
use std::collections::VecDeque;

/// How long a stall is held against a primary after it was last found.
const STALL_REMEMBERED: Millis = 10_000;
/// Transitions kept for `quincehatchctl explain`.
const MAX_TRANSITIONS: usize = 64;
/// Pieces of evidence kept.
const MAX_EVIDENCE: usize = 32;

messages! {
    /// Whether a server is given requests.
    #[derive(Copy, Eq, Hash, Default)]
    pub enum HealthState {
        /// It is given requests.
        #[default] Healthy,
        /// It is given none.
        Ejected,
        /// It is given one request at a time.
        Probation
    }

    /// A change of state, with the evidence that made it.
    #[derive(Eq)]
    pub struct HealthTransition {
        /// When it was made.
        pub at: Millis,
        /// The state after it.
        pub to: HealthState,
        /// Why, for operators.
        pub reason: String,
        /// The evidence of that moment.
        pub evidence: Vec<Evidence>
    }
}

impl HealthState {
    /// The state's name in reports.
    pub fn label(self) -> &'static str {
        match self {
            HealthState::Healthy => "in-rotation",
            HealthState::Ejected => "set-aside",
            HealthState::Probation => "on-trial",
        }
    }
}

/// When replies were first and last found overdue with no answer since.
#[derive(Clone, Copy, Debug)]
struct Stall {
    first_found: Millis,
    last_found: Millis,
}

/// All that one node knows of one server's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The state of this moment.
    pub state: HealthState,
    /// The replies it has pending.
    pub overdue: OverdueReplies,
    evidence: VecDeque<Evidence>,
    /// The last transitions, newest last.
    pub transitions: VecDeque<HealthTransition>,
    /// An ejected server goes on probation no sooner.
    pub ejected_until: Millis,
    pub(super) ejected_for: Millis,
    probation_successes: u64,
    probation_request: Option<u64>,
    /// How often it was ejected.
    pub ejections: u64,
    stall: Option<Stall>,
}

impl Health {
    /// Whether it is given requests.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Whether it is on probation and has no request yet: it is given one at a time.
    pub fn accepts_probation_request(&self) -> bool {
        self.state == HealthState::Probation && self.probation_request.is_none()
    }

    fn change_state(&mut self, now: Millis, to: HealthState, reason: String) {
        self.state = to;
        let evidence = self.evidence.iter().copied().collect();
        self.transitions.push_back(HealthTransition { at: now, to, reason, evidence });
        if self.transitions.len() > MAX_TRANSITIONS {
            self.transitions.pop_front();
        }
    }

    fn eject(&mut self, now: Millis, settings: &HealthSettings, reason: String) {
        // A failure on probation doubles the time, up to its bound; for a healthy server it starts anew.
        self.ejected_for = match self.state {
            HealthState::Probation => {
                (self.ejected_for * 2).clamp(settings.probation_after_ms, settings.probation_after_max_ms)
            }
            HealthState::Healthy => settings.probation_after_ms,
            HealthState::Ejected => self.ejected_for,
        };
        self.ejected_until = now + self.ejected_for;
        self.probation_successes = 0;
        self.probation_request = None;
        self.ejections += 1;
        self.change_state(now, HealthState::Ejected, reason);
        self.evidence.clear();
    }

    /// The server became its group's primary: writes go there whatever is held against it, and what was is no reason for
    /// the next promotion.
    pub fn note_assigned_primary(&mut self, now: Millis) {
        self.evidence.clear();
        self.probation_request = None;
        self.stall = None;
        if self.state != HealthState::Healthy {
            self.change_state(now, HealthState::Healthy, "it became the primary".into());
        }
    }

    /// Weighs one more piece of evidence.
    pub fn add_evidence(&mut self, now: Millis, settings: &HealthSettings, signal: HealthSignal) {
        let weight = match signal {
            HealthSignal::Reset => settings.reset_weight,
            HealthSignal::Unresponsive => settings.silent_weight,
            HealthSignal::Overdue | HealthSignal::Stall => settings.overdue_weight,
            HealthSignal::Late => settings.late_weight,
        };
        while self.evidence.front().is_some_and(|oldest| oldest.at + settings.evidence_ms < now) {
            self.evidence.pop_front();
        }
        self.evidence.push_back(Evidence { signal, weight, at: now });
        if self.evidence.len() > MAX_EVIDENCE {
            self.evidence.pop_front();
        }
        let sum: u64 = self.evidence.iter().map(|evidence| evidence.weight).sum();
        let failed_probation = self.state == HealthState::Probation && signal != HealthSignal::Late;
        let is_enough = sum >= settings.eject_at || failed_probation;
        if self.state != HealthState::Ejected && is_enough {
            let reason = format!("{signal:?} brought the evidence to {sum} of {}", settings.eject_at);
            self.eject(now, settings, reason);
        }
    }

    /// A connection came to its end.
    pub fn connection_ended(&mut self, now: Millis, settings: &HealthSettings, end: ConnectionEnd) {
        match end {
            ConnectionEnd::Graceful => {}
            ConnectionEnd::Reset => self.add_evidence(now, settings, HealthSignal::Reset),
            ConnectionEnd::Unresponsive => self.add_evidence(now, settings, HealthSignal::Unresponsive),
        }
    }

    /// For how long it has stalled; any answer ends a stall.
    pub fn stalled_for(&self, now: Millis) -> Option<Millis> {
        let stall = self.stall?;
        let is_recent = now < stall.last_found + STALL_REMEMBERED;
        if !is_recent || self.overdue.answered_since(stall.first_found) {
            return None;
        }
        Some(now - stall.first_found)
    }

    /// Time passes: replies become overdue.
    pub fn tick(&mut self, now: Millis, settings: &HealthSettings) {
        // A reply that was lost on the way becomes overdue long after the server answered others: that is no stall.
        let is_silent = self.overdue.silent_past_query_timeout(now);
        for finding in self.overdue.tick(now) {
            let is_stall = match finding {
                OverdueFinding::Stall => true,
                OverdueFinding::Overdue => is_silent,
                OverdueFinding::Late => false,
            };
            if is_stall {
                let first_found = self.stalled_for(now).map_or(now, |duration| now - duration);
                self.stall = Some(Stall { first_found, last_found: now });
            }
            let signal = match finding {
                OverdueFinding::Overdue => HealthSignal::Overdue,
                OverdueFinding::Stall => HealthSignal::Stall,
                OverdueFinding::Late => HealthSignal::Late,
            };
            self.add_evidence(now, settings, signal);
        }
    }

    /// STATUS was answered and the server is fresh: once its time is over, an ejected server goes on probation.
    pub fn status_succeeded(&mut self, now: Millis, group: GroupHealth) {
        if self.state == HealthState::Ejected && now >= self.probation_due_at(group) {
            self.probation_successes = 0;
            self.probation_request = None;
            self.change_state(now, HealthState::Probation, "the wait is over and STATUS is fresh".into());
        }
    }

    /// A client's read, attempt `id`, goes to a server on probation.
    pub fn begin_probation_request(&mut self, id: u64) {
        if self.state == HealthState::Probation {
            self.probation_request = Some(id);
        }
    }

    /// Attempt `id` succeeded.
    pub fn request_succeeded(&mut self, now: Millis, settings: &HealthSettings, id: u64) {
        self.overdue.record_answer(now, id);
        if !self.is_on_probation_with(id) {
            return;
        }
        self.probation_request = None;
        self.probation_successes += 1;
        if self.probation_successes >= settings.probation_successes {
            self.evidence.clear();
            let reason = format!("{} good reads on probation", self.probation_successes);
            self.change_state(now, HealthState::Healthy, reason);
        }
    }

    /// Attempt `id` was given up for a reason that says nothing of the server's health.
    pub fn request_inconclusive(&mut self, id: u64) {
        self.overdue.forget(id);
        if self.probation_request == Some(id) {
            self.probation_request = None;
        }
    }

    /// Attempt `id` was not answered in its time; on probation that is a failure.
    pub fn probation_failed(&mut self, now: Millis, settings: &HealthSettings, id: u64) {
        if self.is_on_probation_with(id) {
            self.eject(now, settings, "a read on probation was not answered in time".into());
        }
    }

    fn is_on_probation_with(&self, id: u64) -> bool {
        self.state == HealthState::Probation && self.probation_request == Some(id)
    }
}
