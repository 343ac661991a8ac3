//! Scripts of faults for a real fleet (§9.2): what is done to whom, and when.
use crate::stand_in::faults::FaultSettings;
use serde_json::json;

/// Whom an act is meant for; leads and chain places are looked up when it is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    Name(String),
    /// The server that leads the group at that time.
    Primary(String),
    /// Some replica of the group.
    Replica(String),
    Head,
    Tail,
    /// Whoever an earlier act with this label hit.
    SameAs(&'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Kill,
    Start,
    /// A graceful stop.
    Stop,
    Pause,
    Continue,
    Fault(FaultSettings),
    Drain,
    StopDraining,
    /// Two pushes at once, one stale, one broken, then one that is sent twice.
    PushConfigurations,
    /// A hundred and fifty callers more, for five seconds, with hardly a pause.
    ExtraCallers,
}

#[derive(Clone, Debug)]
pub struct Step {
    pub at: u64,
    pub who: Target,
    pub act: Action,
    pub label: &'static str,
    /// Service must be back within the bound after this.
    pub is_final: bool,
}

pub(crate) fn step(at: u64, who: Target, act: Action, label: &'static str) -> Step {
    Step { at, who, act, label, is_final: false }
}
pub(crate) fn final_step(mut s: Step) -> Step {
    s.is_final = true;
    s
}
pub(crate) fn fault(f: impl FnOnce(&mut FaultSettings)) -> Action {
    let mut w = FaultSettings::default();
    f(&mut w);
    Action::Fault(w)
}
pub(crate) fn name(n: &str) -> Target {
    Target::Name(n.into())
}

pub use crate::scenarios::{SCENARIO_NAMES, named};

/// A blueprint text that differs from any other by its own mark.
pub fn with_mark(text: &str, mark: u64) -> String {
    format!("{text}\n[judges]\nlate_weight = {}\n", 10 + mark % 30)
}

/// A blueprint that must be declined.
pub fn invalid_configuration() -> String {
    json!({"placements": [{"name": "p", "select": {"host": ["10.0.0.1"]}}], "rules": [{"name": "r", "class": "order",
        "placement": "nowhere"}]})
    .to_string()
}
