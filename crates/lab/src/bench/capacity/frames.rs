//! Counts frames by kind, per node and second, over the simulator's network.
use super::fits::print_fit;
use crate::bench::print_spread;
use quincehatch_capacity::fit::Sample;
use quincehatch_capacity::frame_counts::{self, FleetTraffic, FrameCount, FrameKind};
use std::collections::BTreeMap;

/// Nodes and groups of each cluster.
const SIZES: [(usize, usize); 10] =
    [(30, 0), (60, 0), (120, 0), (240, 0), (460, 0), (12, 10), (24, 10), (48, 10), (24, 20), (24, 40)];
const SECONDS: u64 = 12;

/// Frames of one kind in one cluster, per node and second.
struct Rate {
    nodes: f64,
    groups: f64,
    requests: f64,
    bytes: f64,
}

/// Measures every size. Constant figures are fitted by their mean, others by the terms that they depend on.
pub(super) fn run() -> Result<(), String> {
    let mut rates: BTreeMap<FrameKind, Vec<Rate>> = BTreeMap::new();
    for (nodes, groups) in SIZES {
        let traffic = frame_counts::measure(nodes, groups, SECONDS);
        let traffic = traffic.ok_or("a cluster did not come into service")?;
        print_pushes(&traffic, nodes, groups);
        for (kind, count) in &traffic.frames {
            let rate = print_rate(*kind, count, nodes, groups);
            rates.entry(*kind).or_default().push(rate);
        }
    }
    for (kind, rates) in rates {
        print_fits(kind, &rates);
    }
    Ok(())
}

fn print_pushes(traffic: &FleetTraffic, nodes: usize, groups: usize) {
    println!("{nodes} nodes, {groups} groups: the fewest known at a node are {}", traffic.fewest_known);
    let push_ms = traffic.push_ms.iter().map(|ms| *ms as f64).collect();
    print_spread("  push to in force", "ms", push_ms);
    println!("  after a node died: {} ms", traffic.push_ms_after_node_loss);
}

fn print_rate(kind: FrameKind, count: &FrameCount, nodes: usize, groups: usize) -> Rate {
    let per_node_second = |total: u64| total as f64 / SECONDS as f64 / nodes as f64;
    let requests = per_node_second(count.requests);
    let request_bytes = per_node_second(count.request_bytes);
    let response_bytes = per_node_second(count.response_bytes);
    println!("  {kind}: {requests:.2} requests, {request_bytes:.0} bytes there, {response_bytes:.0} back");
    Rate { nodes: nodes as f64, groups: groups as f64, requests, bytes: request_bytes + response_bytes }
}

fn print_fits(kind: FrameKind, rates: &[Rate]) {
    let names: &[&str] = match kind {
        FrameKind::AcknowledgedEnd => &["g"],
        FrameKind::Status => &["g/n", "g"],
        _ => &[""],
    };
    let terms = |rate: &Rate| match kind {
        FrameKind::AcknowledgedEnd => vec![rate.groups],
        FrameKind::Status => vec![rate.groups / rate.nodes, rate.groups],
        _ => vec![1.0],
    };
    let sample = |rate: &Rate, value: f64| Sample { terms: terms(rate), value };
    let requests: Vec<Sample> = rates.iter().map(|rate| sample(rate, rate.requests)).collect();
    let bytes: Vec<Sample> = rates.iter().map(|rate| sample(rate, rate.bytes)).collect();
    print_fit(&format!("{kind} requests"), "a node and second", names, &requests);
    print_fit(&format!("{kind} bytes"), "a node and second", names, &bytes);
}
