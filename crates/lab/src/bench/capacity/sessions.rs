//! Measures the memory of idle sessions of one node, and the time of statements through them.
use super::fits::{median, print_fit};
use super::measurement::{figures, run_child};
use crate::bench::print_spread;
use quincehatch_capacity::fit::Sample;

const SESSION_COUNTS: [usize; 4] = [500, 1_000, 2_000, 4_000];

pub(super) fn run(rounds: usize) -> Result<(), String> {
    let mut samples = Vec::new();
    let mut statement_ms = Vec::new();
    for count in SESSION_COUNTS {
        let mut runs = Vec::new();
        for _ in 0..rounds {
            runs.push(run_child(&[("sessions", count)])?);
        }
        let session_kib = figures(&runs, "kib");
        let sessions = count as f64;
        samples.push(Sample { terms: vec![1.0, sessions], value: median(&session_kib) * sessions });
        statement_ms.extend(figures(&runs, "ms_per_1000"));
        print_spread(&format!("sessions {count}, each"), "KiB", session_kib);
    }
    print_fit("sessions", "KiB", &["", "n"], &samples);
    print_spread("1000 statements, with the client's end", "ms", statement_ms);
    Ok(())
}
