//! Targets, actions and steps from which the scenarios are built.
use crate::script::{Action, Step, Target, fault, name, step};
use quincehatch_core::Millis;

/// Servers of the first group.
pub(crate) const FIRST_GROUP: [&str; 3] = ["g1s1", "g1s2", "g1s3"];

pub(crate) fn primary() -> Target {
    Target::Primary("g1".into())
}

pub(crate) fn replica() -> Target {
    Target::Replica("g1".into())
}

pub(crate) fn same(label: &'static str) -> Target {
    Target::SameAs(label)
}

pub(crate) fn stall(enabled: bool) -> Action {
    fault(|faults| faults.stall = Some(enabled))
}

pub(crate) fn dark(enabled: bool) -> Action {
    fault(|faults| faults.dark = Some(enabled))
}

pub(crate) fn hole(enabled: bool) -> Action {
    fault(|faults| faults.hole = Some(enabled))
}

pub(crate) fn deaf(enabled: bool) -> Action {
    fault(|faults| faults.deaf = Some(enabled))
}

pub(crate) fn lag(ms: Millis) -> Action {
    fault(|faults| faults.lag_ms = Some(ms))
}

pub(crate) fn slow(ms: Millis) -> Action {
    fault(|faults| faults.slow_ms = Some(ms))
}

pub(crate) fn lose_answers(count: u64) -> Action {
    fault(|faults| faults.lose_answers = Some(count))
}

pub(crate) fn reset() -> Action {
    fault(|faults| faults.reset = Some(true))
}

pub(crate) fn push(at: Millis) -> Step {
    step(at, name("n1"), Action::PushConfigurations, "p")
}
