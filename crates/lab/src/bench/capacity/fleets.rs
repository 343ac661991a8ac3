//! Measures clusters of hollow nodes: first over numbers of nodes and groups, then over rates of changes.
use super::fits::{median, print_fit};
use super::measurement::{figures, run_child};
use crate::bench::print_spread;
use quincehatch_capacity::fit::Sample;
use serde_json::Value;

const KEEPERS: usize = 5;
const SECONDS: usize = 8;
/// Nodes and groups of each cluster.
const SIZES: [(usize, usize); 9] =
    [(6, 40), (12, 40), (24, 40), (48, 40), (12, 20), (12, 80), (12, 160), (6, 160), (24, 80)];
const CHANGE_RATES: [usize; 4] = [0, 5, 10, 20];
const CHANGE_NODES: usize = 12;
const CHANGE_GROUPS: usize = 40;

/// A figure of a cluster, and the terms that it is expected to depend on.
struct Figure {
    /// Its key in the JSON of the measurement.
    key: &'static str,
    terms: &'static [&'static str],
    /// The terms' values for nodes and groups.
    values: fn(f64, f64) -> Vec<f64>,
}

const FIGURES: [Figure; 6] = [
    // A node answers queries for each group and probes the status of the servers of the groups that it owns. The term
    // of the product of nodes and groups is too small at these sizes and is measured separately.
    Figure {
        key: "node_ms",
        terms: &["", "g", "g/n"],
        values: |nodes, groups| vec![1.0, groups, groups / nodes],
    },
    // The nodes of a process share its base memory.
    Figure {
        key: "node_kib",
        terms: &["1/n", "", "g"],
        values: |nodes, groups| vec![1.0 / nodes, 1.0, groups],
    },
    Figure { key: "gossip_messages", terms: &["", "n"], values: |nodes, _groups| vec![1.0, nodes] },
    // A node probes the status of the servers of its share of the groups.
    Figure { key: "status_calls", terms: &["g/n"], values: |nodes, groups| vec![groups / nodes] },
    Figure { key: "tail_ms", terms: &["", "n", "g"], values: |nodes, groups| vec![1.0, nodes, groups] },
    Figure { key: "head_ms", terms: &["", "n", "g"], values: |nodes, groups| vec![1.0, nodes, groups] },
];

/// Measures clusters of several sizes without changes.
pub(super) fn run_sizes(rounds: usize) -> Result<(), String> {
    let mut samples: Vec<Vec<Sample>> = vec![Vec::new(); FIGURES.len()];
    for (nodes, groups) in SIZES {
        let runs = run_rounds(rounds, nodes, groups, 0)?;
        for (figure, samples) in FIGURES.iter().zip(&mut samples) {
            let measured = figures(&runs, figure.key);
            let terms = (figure.values)(nodes as f64, groups as f64);
            samples.push(Sample { terms, value: median(&measured) });
            print_spread(&format!("{}, {nodes} nodes, {groups} groups", figure.key), "", measured);
        }
    }
    for (figure, samples) in FIGURES.iter().zip(&samples) {
        print_fit(figure.key, "", figure.terms, samples);
    }
    Ok(())
}

/// Measures one cluster while server records change at several rates.
pub(super) fn run_change_rates(rounds: usize) -> Result<(), String> {
    let keys = ["node_ms", "head_ms", "tail_ms"];
    let mut samples: Vec<Vec<Sample>> = vec![Vec::new(); keys.len()];
    for rate in CHANGE_RATES {
        let runs = run_rounds(rounds, CHANGE_NODES, CHANGE_GROUPS, rate)?;
        let measured_rate = median(&figures(&runs, "changes"));
        for (key, samples) in keys.iter().zip(&mut samples) {
            let measured = figures(&runs, key);
            samples.push(Sample { terms: vec![1.0, measured_rate], value: median(&measured) });
            print_spread(&format!("{key}, {rate} changes a second"), "", measured);
        }
    }
    for (key, samples) in keys.iter().zip(&samples) {
        print_fit(key, "by changes a second", &["", "c"], samples);
    }
    Ok(())
}

fn run_rounds(rounds: usize, nodes: usize, groups: usize, changes: usize) -> Result<Vec<Value>, String> {
    let flags = [
        ("nodes", nodes),
        ("groups", groups),
        ("keepers", KEEPERS),
        ("changes", changes),
        ("seconds", SECONDS),
    ];
    (0..rounds).map(|_| run_child(&flags)).collect()
}
