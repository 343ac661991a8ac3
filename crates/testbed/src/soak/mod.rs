//! Soak runs: a fleet of real processes of a drawn size, under a drawn script of signals, restarts and configuration
//! changes that come in series and overlap. Clients keep using their connections until the process at the other end has
//! ended.
//!
//! A seed reproduces the script of a run, but not the timing of its processes.
mod draw;
mod size;

pub use draw::draw_script;
pub use size::{SoakSize, draw_size};

use quincehatch_core::Millis;

/// Time from the start of the load to the first fault.
pub(crate) const FAULTS_FROM: Millis = 2_000;
/// All faults end this long before the end of the run, so that the recovery of service is observed.
pub(crate) const HEALED_BEFORE_END: Millis = 8_000;
