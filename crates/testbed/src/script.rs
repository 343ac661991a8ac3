//! Scripts of faults for a real fleet: what is done to whom, and when.
use crate::stand_in::faults::FaultSettings;
use quincehatch_core::Millis;
use serde_json::json;

pub use crate::scenarios::{SCENARIO_NAMES, named};

/// Whom an action is meant for; primaries and places in the chain are looked up when it is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// The process of that name.
    Name(String),
    /// The group's primary.
    Primary(String),
    /// Some replica of the group.
    Replica(String),
    /// The keeper at the head of the chain.
    Head,
    /// The keeper at its tail.
    Tail,
    /// Whoever an earlier action with this label hit.
    SameAs(&'static str),
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The process is killed.
    Kill,
    /// The process is started again.
    Start,
    /// The process is stopped in order, and waited for.
    Stop,
    /// The process is told to stop; its next start waits until it has ended.
    Terminate,
    /// The process is told that its settings file may have changed.
    Hangup,
    /// The process is suspended.
    Pause,
    /// The suspension ends.
    Continue,
    /// Something goes wrong inside a server, or is over.
    Fault(FaultSettings),
    /// A server announces that it drains.
    Drain,
    /// It announces that it does not.
    StopDraining,
    /// Two pushes at once, one stale, one invalid, then one that is sent twice.
    PushConfigurations,
    /// Many more callers for a few seconds, with hardly a pause.
    ExtraCallers,
}

/// One step of a script.
#[derive(Clone, Debug)]
pub struct Step {
    /// When, from the start of the load.
    pub at: Millis,
    /// To whom.
    pub who: Target,
    /// What.
    pub act: Action,
    /// How later steps name whoever it hit.
    pub label: &'static str,
    /// Service must be back within its bound after this.
    pub is_final: bool,
}

pub(crate) fn step(at: Millis, who: Target, act: Action, label: &'static str) -> Step {
    Step { at, who, act, label, is_final: false }
}

pub(crate) fn final_step(step: Step) -> Step {
    Step { is_final: true, ..step }
}

pub(crate) fn fault(set: impl FnOnce(&mut FaultSettings)) -> Action {
    let mut settings = FaultSettings::default();
    set(&mut settings);
    Action::Fault(settings)
}

pub(crate) fn name(name: &str) -> Target {
    Target::Name(name.into())
}

/// Weights of late replies that marks choose among: the least, and how many there are.
const MIN_LATE_WEIGHT: u64 = 10;
const LATE_WEIGHTS: u64 = 30;

/// A configuration that differs from others by its mark.
pub fn with_mark(text: &str, mark: u64) -> String {
    format!("{text}\n[health]\nlate_weight = {}\n", MIN_LATE_WEIGHT + mark % LATE_WEIGHTS)
}

/// A configuration that must be rejected.
pub fn invalid_configuration() -> String {
    let placement = json!({"name": "p", "select": {"host": ["10.0.0.1"]}});
    let route = json!({"name": "r", "class": "order", "placement": "nowhere"});
    json!({"placements": [placement], "routes": [route]}).to_string()
}
