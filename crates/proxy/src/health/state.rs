//! The health state of one server: healthy, ejected or on probation, as the weighed evidence decides. This module does
//! no I/O.
use crate::health::evidence::{ConnectionEnd, Evidence, HealthSignal};
use crate::health::overdue_replies::{OverdueFinding, OverdueReplies};
use crate::health::readmission::GroupHealth;
use quincehatch_config::configuration::HealthSettings;
use quincehatch_core::{Millis, messages};
use std::collections::VecDeque;

/// How long a stall counts against a primary after it was last detected.
const STALL_RETENTION: Millis = 10_000;
/// The number of transitions that are retained for `quincehatchctl explain`.
const MAX_TRANSITIONS: usize = 64;
/// The number of pieces of evidence that are retained.
const MAX_EVIDENCE: usize = 32;

messages! {
    /// Whether a server receives requests.
    #[derive(Copy, Eq, Hash, Default)]
    pub enum HealthState {
        /// The server receives requests.
        #[default] Healthy,
        /// The server receives no requests.
        Ejected,
        /// The server receives one request at a time.
        Probation
    }

    /// A change of state, with the evidence that caused it.
    #[derive(Eq)]
    pub struct HealthTransition {
        /// When the state changed.
        pub at: Millis,
        /// The new state.
        pub to: HealthState,
        /// The reason, as reported to operators.
        pub reason: String,
        /// The evidence at the time of the change.
        pub evidence: Vec<Evidence>
    }
}

impl HealthState {
    /// Returns the name of the state in reports.
    pub fn label(self) -> &'static str {
        match self {
            HealthState::Healthy => "in-rotation",
            HealthState::Ejected => "set-aside",
            HealthState::Probation => "on-trial",
        }
    }
}

/// A period in which replies were overdue and no request was answered.
#[derive(Clone, Copy, Debug)]
struct Stall {
    first_detected: Millis,
    last_detected: Millis,
}

/// One server's health as one node observes it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The current state.
    pub state: HealthState,
    /// The detector of overdue replies.
    pub overdue: OverdueReplies,
    evidence: VecDeque<Evidence>,
    /// The last transitions, newest last.
    pub transitions: VecDeque<HealthTransition>,
    /// The time before which an ejected server does not go on probation.
    pub ejected_until: Millis,
    pub(super) ejected_for: Millis,
    probation_successes: u64,
    probation_request: Option<u64>,
    /// How often the server was ejected.
    pub ejections: u64,
    stall: Option<Stall>,
}

impl Health {
    /// Whether the server receives requests without restriction.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Whether the server is on probation and has no request in flight. Such a server receives one request at a time.
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
        // A failure on probation doubles the ejection time up to its maximum; for a healthy server the time starts at
        // its minimum.
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

    /// Records that the server became its group's primary. Writes go there whatever its health, so it counts as
    /// healthy, and evidence from before is no reason for the next promotion.
    pub fn record_promotion(&mut self, now: Millis) {
        self.evidence.clear();
        self.probation_request = None;
        self.stall = None;
        if self.state != HealthState::Healthy {
            self.change_state(now, HealthState::Healthy, "it became the primary".into());
        }
    }

    /// Adds a piece of evidence. Ejects the server if the total weight suffices, or if the server was on probation and
    /// the signal is more than a late reply.
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
        let should_eject = sum >= settings.eject_at || failed_probation;
        if self.state != HealthState::Ejected && should_eject {
            let reason = format!("{signal:?} brought the evidence to {sum} of {}", settings.eject_at);
            self.eject(now, settings, reason);
        }
    }

    /// Records the end of a connection.
    pub fn connection_ended(&mut self, now: Millis, settings: &HealthSettings, end: ConnectionEnd) {
        match end {
            ConnectionEnd::Graceful => {}
            ConnectionEnd::Reset => self.add_evidence(now, settings, HealthSignal::Reset),
            ConnectionEnd::Unresponsive => self.add_evidence(now, settings, HealthSignal::Unresponsive),
        }
    }

    /// Returns for how long the server has stalled. Any answer ends a stall.
    pub fn stall_duration(&self, now: Millis) -> Option<Millis> {
        let stall = self.stall?;
        let is_recent = now < stall.last_detected + STALL_RETENTION;
        if !is_recent || self.overdue.answered_since(stall.first_detected) {
            return None;
        }
        Some(now - stall.first_detected)
    }

    /// Evaluates the pending replies at `now` and adds the evidence that they give.
    pub fn tick(&mut self, now: Millis, settings: &HealthSettings) {
        // A reply that was lost on the network becomes overdue long after the server answered other requests; that is
        // not a stall.
        let is_silent = self.overdue.has_unanswered_overdue_reply(now);
        for finding in self.overdue.tick(now) {
            let is_stall = match finding {
                OverdueFinding::Stall => true,
                OverdueFinding::Overdue => is_silent,
                OverdueFinding::Late => false,
            };
            if is_stall {
                let first_detected = self.stall_duration(now).map_or(now, |duration| now - duration);
                self.stall = Some(Stall { first_detected, last_detected: now });
            }
            let signal = match finding {
                OverdueFinding::Overdue => HealthSignal::Overdue,
                OverdueFinding::Stall => HealthSignal::Stall,
                OverdueFinding::Late => HealthSignal::Late,
            };
            self.add_evidence(now, settings, signal);
        }
    }

    /// Records that the server answered STATUS and is fresh. An ejected server whose wait is over goes on probation.
    pub fn status_succeeded(&mut self, now: Millis, group: GroupHealth) {
        if self.state == HealthState::Ejected && now >= self.probation_due_at(group) {
            self.probation_successes = 0;
            self.probation_request = None;
            self.change_state(now, HealthState::Probation, "the wait is over and STATUS is fresh".into());
        }
    }

    /// Records that attempt `id` of a client's read is sent to a server on probation.
    pub fn begin_probation_request(&mut self, id: u64) {
        if self.state == HealthState::Probation {
            self.probation_request = Some(id);
        }
    }

    /// Records that attempt `id` succeeded.
    pub fn request_succeeded(&mut self, now: Millis, settings: &HealthSettings, id: u64) {
        self.overdue.record_answer(now, id);
        if !self.is_probation_request(id) {
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

    /// Records that attempt `id` was abandoned for a reason that says nothing about the server's health.
    pub fn request_inconclusive(&mut self, id: u64) {
        self.overdue.discard(id);
        if self.probation_request == Some(id) {
            self.probation_request = None;
        }
    }

    /// Records that attempt `id` timed out, which ejects a server on probation.
    pub fn probation_failed(&mut self, now: Millis, settings: &HealthSettings, id: u64) {
        if self.is_probation_request(id) {
            self.eject(now, settings, "a read on probation was not answered in time".into());
        }
    }

    fn is_probation_request(&self, id: u64) -> bool {
        self.state == HealthState::Probation && self.probation_request == Some(id)
    }
}
