//! `quincehatch-lab sim`: many seeds, side by side.
mod control;
mod direct;
mod pooled;
mod seeds;

use crate::cli::{SimulatedWorld, SimulationOptions};
use seeds::run_world;

/// Runs the seeds and prints what they came to; an error if any of them violated an invariant.
pub fn run(options: &SimulationOptions) -> Result<(), String> {
    match options.world {
        SimulatedWorld::Pooled => run_world(&pooled::WORLD, options),
        SimulatedWorld::Direct => run_world(&direct::WORLD, options),
        SimulatedWorld::ControlPlane => run_world(&control::WORLD, options),
    }
}
