//! Traps, which suspend or crash a process at a trace point of its code.
use quincehatch_core::Millis;

/// Stops the next process that reaches a trace point whose text contains `trace_point`.
#[derive(Clone, Debug)]
pub struct Trap {
    /// Part of the trace point's text.
    pub trace_point: String,
    /// Time for which the process is suspended; with `None` it crashes and is restarted later.
    pub pause: Option<Millis>,
}
