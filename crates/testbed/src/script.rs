//! Fault scripts for a real fleet: timed actions on its processes.
use crate::stand_in::faults::FaultSettings;
use quincehatch_core::Millis;
use serde_json::json;

pub use crate::scenarios::{SCENARIO_NAMES, named};

/// The process that an action applies to. Primaries and chain members are looked up when the action is performed.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// The process with that name.
    Name(String),
    /// The group's primary.
    Primary(String),
    /// Some replica of the group.
    Replica(String),
    /// The keeper at the head of the chain.
    Head,
    /// The keeper at its tail.
    Tail,
    /// The process that an earlier action with this label applied to.
    SameAs(&'static str),
}

/// An action on a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The process is killed.
    Kill,
    /// The process is started again.
    Start,
    /// The process is terminated, and the script waits for its end.
    Stop,
    /// The process is terminated without a wait; its next start waits until it has ended.
    Terminate,
    /// The process is notified that its settings file may have changed.
    Hangup,
    /// The process is suspended.
    Pause,
    /// The process is resumed.
    Continue,
    /// Faults of a server are set or cleared.
    Fault(FaultSettings),
    /// A server announces that it drains.
    Drain,
    /// A server announces that it no longer drains.
    StopDraining,
    /// A round of configuration pushes: two concurrent ones, an invalid one, one that is sent twice, and one alone.
    PushConfigurations,
    /// Many additional callers with short pauses for a few seconds.
    ExtraCallers,
}

/// One step of a script.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time of the step, from the start of the load.
    pub at: Millis,
    /// Process that the action applies to.
    pub who: Target,
    /// The action.
    pub act: Action,
    /// Label by which later steps refer to the same process.
    pub label: &'static str,
    /// Whether service must recover within its bound after this step.
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

/// Weights of late replies that marks select from: the lowest, and their number.
const MIN_LATE_WEIGHT: u64 = 10;
const LATE_WEIGHTS: u64 = 30;

/// Returns the configuration with a health setting that depends on the mark, so that texts with different marks differ.
pub fn with_mark(text: &str, mark: u64) -> String {
    format!("{text}\n[health]\nlate_weight = {}\n", MIN_LATE_WEIGHT + mark % LATE_WEIGHTS)
}

/// Returns a configuration that must be rejected.
pub fn invalid_configuration() -> String {
    let placement = json!({"name": "p", "select": {"host": ["10.0.0.1"]}});
    let route = json!({"name": "r", "class": "order", "placement": "nowhere"});
    json!({"placements": [placement], "routes": [route]}).to_string()
}
