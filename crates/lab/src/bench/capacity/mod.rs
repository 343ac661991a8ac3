//! `quincehatch-lab bench capacity`: the slopes of docs/CAPACITY.md. Each cluster runs in a separate process.
mod components;
mod fits;
mod fleets;
mod frames;
mod measurement;
mod sessions;

pub use measurement::{Measurement, run_measurement};

/// Runs one part of the measurements, or `all`.
pub fn run(part: &str, rounds: usize) -> Result<(), String> {
    let wanted = |name: &str| part == "all" || part == name;
    if wanted("parts") {
        components::run(rounds);
    }
    if wanted("sessions") {
        sessions::run(rounds)?;
    }
    if wanted("fleet") {
        fleets::run_sizes(rounds)?;
    }
    if wanted("changes") {
        fleets::run_change_rates(rounds)?;
    }
    if wanted("counted") {
        frames::run()?;
    }
    Ok(())
}
