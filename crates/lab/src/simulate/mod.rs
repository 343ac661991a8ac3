//! `quincehatch-lab sim`: runs many seeds in parallel.
mod control;
mod direct;
mod pooled;
mod seeds;

use crate::cli::{SimulatedWorld, SimulationOptions};
use seeds::run_world;

/// Runs the seeds and prints their results; returns an error if any of them violated an invariant.
pub fn run(options: &SimulationOptions) -> Result<(), String> {
    match options.world {
        SimulatedWorld::Pooled => run_world(&pooled::WORLD, options),
        SimulatedWorld::Direct => run_world(&direct::WORLD, options),
        SimulatedWorld::ControlPlane => run_world(&control::WORLD, options),
    }
}
