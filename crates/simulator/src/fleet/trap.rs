//! Traps that stop a process at a trace point of its work.
use quincehatch_core::Millis;

/// Stops the next process that reaches a trace point.
#[derive(Clone, Debug)]
pub struct Trap {
    /// Part of the trace point's text.
    pub trace_point: String,
    /// How long the process is suspended; none: it crashes and is restarted later.
    pub pause: Option<Millis>,
}
