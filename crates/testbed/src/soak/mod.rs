//! Soak runs: a fleet of real processes of a drawn size, and a drawn script of signals, restarts and changes that come in
//! series and overlap. Clients keep using the connections that they have until the process at the other end is gone.
//!
//! A run is repeated by its seed as far as processes and their timing allow: the script is the same, what it meets is not.
mod draw;
mod size;

pub use draw::draw_script;
pub use size::{SoakSize, draw_size};

use quincehatch_core::Millis;

/// Faults begin this long after the load.
pub(crate) const FAULTS_FROM: Millis = 2_000;
/// All is healed this long before the end, so that service is seen to be back.
pub(crate) const HEALED_BEFORE_END: Millis = 8_000;
