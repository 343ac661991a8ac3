//! Measures single components at sizes up to the planned one: 460 nodes and 760 databases.
use super::fits::{CONSTANT, LINEAR, QUADRATIC, Series, Term};
use crate::bench::print_spread;
use quincehatch_capacity::components;
use quincehatch_capacity::tail_keeper::{self, TailLoad, TailSecond};

const NODES: usize = 460;
const DATABASES: usize = 760;
const SERVERS: usize = 2_280;
const NODE_SIZES: [usize; 4] = [58, 115, 230, NODES];
const DATABASE_SIZES: [usize; 4] = [95, 190, 380, DATABASES];
const SERVER_SIZES: [usize; 4] = [128, 256, 512, 1_024];
const ADOPTION_COUNTS: [usize; 5] = [1, 2, 4, 8, 16];
const GOSSIP_SECONDS: u64 = 60;
const TAIL_SECONDS: u64 = 10;
/// Changed server records and idle heartbeats per second at the tail.
const TAIL_LOADS: [(u64, u64); 7] = [(0, 0), (5, 0), (10, 0), (20, 0), (0, 570), (0, 1_140), (0, 2_280)];

/// Measures every component.
pub(super) fn run(rounds: usize) {
    run_nodes(rounds);
    run_tail(rounds);
    run_configurations(rounds);
    run_frames();
}

fn series<'name>(name: &'name str, unit: &'name str, sizes: &'name [usize]) -> Series<'name> {
    Series { name, unit, sizes, terms: &[CONSTANT, LINEAR] }
}

fn run_nodes(rounds: usize) {
    series("owners of 760 promotion duties, nodes", "ms", &NODE_SIZES)
        .run(rounds, |nodes| components::find_owners_ms(nodes, DATABASES));
    series("owners of promotion duties among 460 nodes, groups", "ms", &DATABASE_SIZES)
        .run(rounds, |groups| components::find_owners_ms(NODES, groups));
    series("gossip a second, nodes known", "ms", &NODE_SIZES)
        .run(rounds, |nodes| components::gossip_second(nodes, GOSSIP_SECONDS).cpu_ms);
    series("health checks a second, servers", "ms", &SERVER_SIZES)
        .run(rounds, |servers| components::health_checks(servers).cpu_ms);
    let registered = components::health_checks(SERVERS).servers;
    println!("servers that a registry takes of {SERVERS}: {registered}");
}

fn run_tail(rounds: usize) {
    let terms: &[Term] = &[CONSTANT, LINEAR, QUADRATIC];
    let polls = Series { terms, ..series("tail a second, nodes", "ms", &NODE_SIZES) };
    polls.run(rounds, |nodes| measure_tail(TailLoad { nodes, ..TailLoad::default() }).cpu_ms);
    for (changes, idle_heartbeats) in TAIL_LOADS {
        run_tail_load(TailLoad { nodes: NODES, changes, idle_heartbeats }, rounds);
    }
    let adoption = "tail, one adoption of 760 databases, nodes";
    series(adoption, "ms", &NODE_SIZES)
        .run(rounds, |nodes| tail_keeper::adoption_cost(nodes, DATABASES).cpu_ms);
    let bytes = Series { terms: &[LINEAR], ..series(adoption, "bytes", &NODE_SIZES) };
    bytes.run(1, |nodes| tail_keeper::adoption_cost(nodes, DATABASES).bytes as f64);
}

fn measure_tail(load: TailLoad) -> TailSecond {
    tail_keeper::measure(load, TAIL_SECONDS)
}

fn run_tail_load(load: TailLoad, rounds: usize) {
    let seconds: Vec<TailSecond> = (0..rounds).map(|_| measure_tail(load)).collect();
    if let Some(first) = seconds.first() {
        println!(
            "tail, {} nodes, {} changes and {} idle heartbeats a second: {:.0} polls, {:.0} bytes",
            load.nodes, load.changes, load.idle_heartbeats, first.polls, first.bytes
        );
    }
    let cpu_ms = seconds.iter().map(|second| second.cpu_ms).collect();
    print_spread("  processor time a second", "ms", cpu_ms);
}

fn run_configurations(rounds: usize) {
    let terms: &[Term] = &[CONSTANT, LINEAR, QUADRATIC];
    let parse = Series { terms, ..series("configuration read, databases", "ms", &DATABASE_SIZES) };
    parse.run(rounds, |groups| components::parse_configuration(groups).cpu_ms);
    series("configuration, databases", "bytes", &DATABASE_SIZES)
        .run(1, |groups| components::parse_configuration(groups).bytes as f64);
    series("adoption at a node, databases", "ms", &DATABASE_SIZES)
        .run(rounds, |groups| components::apply_changes(groups).configuration_ms);
    series("server record at a node, databases", "ms", &DATABASE_SIZES)
        .run(rounds, |groups| components::apply_changes(groups).server_ms);
}

fn run_frames() {
    series("whole store, databases", "bytes", &DATABASE_SIZES)
        .run(1, |groups| components::frame_sizes(groups).store as f64);
    series("snapshot for a node that starts, databases", "bytes", &DATABASE_SIZES)
        .run(1, |groups| components::frame_sizes(groups).snapshot as f64);
    series("change of one adoption, databases", "bytes", &DATABASE_SIZES)
        .run(1, |groups| components::frame_sizes(groups).change as f64);
    series("adopted in one transfer, 760 databases", "bytes", &ADOPTION_COUNTS)
        .run(1, |adoptions| tail_keeper::first_transfer_bytes(DATABASES, adoptions as u64) as f64);
}
