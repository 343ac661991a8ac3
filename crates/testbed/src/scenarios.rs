//! The scenarios by name.
use crate::scenario_steps::{
    FIRST_GROUP, dark, deaf, hole, lag, lose_answers, primary, push, replica, reset, same, slow, stall,
};
use crate::script::{Action, Step, Target, fault, final_step, name, step};

/// All scenarios.
pub const SCENARIO_NAMES: &[&str] = &[
    "calm",
    "lead-killed",
    "lead-paused",
    "lead-stalled",
    "lead-leaves",
    "lost-answers",
    "replica-stalled",
    "replica-dark",
    "replica-killed",
    "resets",
    "all-bad",
    "lagging",
    "node-killed",
    "node-paused",
    "nodes-restarted",
    "head-killed",
    "tail-killed",
    "keeper-paused",
    "pushes",
    "mixed",
    "lag-and-kill",
    "lead-in-a-hole",
    "replica-in-a-hole",
    "lossy",
    "cut-links",
    "replica-leaves",
    "crowd",
    "crowd-and-kill",
    "node-slowed",
    "lead-hiccups",
    "server-slowed",
    "replicas-deaf",
];

/// Returns the script of a scenario; times are from the start of the load.
pub fn named(scenario: &str) -> Option<Vec<Step>> {
    primary_scenario(scenario)
        .or_else(|| replica_scenario(scenario))
        .or_else(|| network_scenario(scenario))
        .or_else(|| node_scenario(scenario))
        .or_else(|| keeper_scenario(scenario))
        .or_else(|| combined_scenario(scenario))
}

/// Faults of a primary.
fn primary_scenario(scenario: &str) -> Option<Vec<Step>> {
    Some(match scenario {
        "lead-killed" => vec![
            final_step(step(3_000, primary(), Action::Kill, "lead")),
            step(14_000, same("lead"), Action::Start, "lead"),
        ],
        "lead-paused" => vec![
            final_step(step(3_000, primary(), Action::Pause, "lead")),
            step(13_000, same("lead"), Action::Continue, "lead"),
        ],
        "lead-stalled" => vec![
            final_step(step(3_000, primary(), stall(true), "lead")),
            step(16_000, same("lead"), stall(false), "lead"),
        ],
        "lead-leaves" => vec![
            final_step(step(3_000, primary(), Action::Drain, "lead")),
            step(12_000, same("lead"), Action::Kill, "lead"),
            step(14_000, same("lead"), Action::Start, "lead"),
        ],
        "lost-answers" => {
            vec![step(2_000, primary(), lose_answers(20), "a"), step(5_000, primary(), lose_answers(20), "b")]
        }
        "lead-hiccups" => {
            let mut steps = Vec::new();
            for at in [2_000, 6_000, 10_000, 14_000] {
                steps.push(step(at, primary(), stall(true), "h"));
                steps.push(step(at + 1_500, same("h"), stall(false), "h"));
            }
            steps
        }
        _ => return None,
    })
}

/// Faults of a replica.
fn replica_scenario(scenario: &str) -> Option<Vec<Step>> {
    Some(match scenario {
        "replica-stalled" => {
            vec![step(3_000, replica(), stall(true), "r"), step(12_000, same("r"), stall(false), "r")]
        }
        "replica-dark" => {
            vec![step(3_000, replica(), dark(true), "r"), step(12_000, same("r"), dark(false), "r")]
        }
        "replica-leaves" => vec![
            step(3_000, replica(), Action::Drain, "r"),
            step(12_000, same("r"), Action::Kill, "r"),
            step(13_000, same("r"), Action::Start, "r"),
        ],
        "replica-killed" => {
            vec![step(3_000, replica(), Action::Kill, "r"), step(9_000, same("r"), Action::Start, "r")]
        }
        "lagging" => {
            vec![step(3_000, replica(), lag(1_200), "r"), step(12_000, same("r"), lag(0), "r")]
        }
        "lag-and-kill" => vec![
            step(3_000, replica(), lag(700), "r"),
            final_step(step(6_000, primary(), Action::Kill, "lead")),
            step(14_000, same("r"), lag(0), "r"),
            step(16_000, same("lead"), Action::Start, "lead"),
        ],
        // One replica stops replicating and the primary is killed: the other replica has every acknowledged order.
        "replicas-deaf" => vec![
            step(2_000, replica(), deaf(true), "r"),
            final_step(step(6_000, primary(), Action::Kill, "lead")),
            step(12_000, same("r"), deaf(false), "r"),
            step(14_000, same("lead"), Action::Start, "lead"),
        ],
        "server-slowed" => vec![
            step(3_000, replica(), slow(400), "r"),
            step(6_000, primary(), slow(60), "l"),
            step(12_000, same("r"), slow(0), "r"),
            step(12_500, same("l"), slow(0), "l"),
        ],
        _ => return None,
    })
}

/// Faults of the network in front of servers.
fn network_scenario(scenario: &str) -> Option<Vec<Step>> {
    let lossy = || fault(|faults| (faults.drop_pm, faults.delay_ms) = (Some(40), Some(5)));
    let cut = || fault(|faults| faults.cut = Some(true));
    Some(match scenario {
        "lead-in-a-hole" => vec![
            final_step(step(3_000, primary(), hole(true), "lead")),
            step(15_000, same("lead"), hole(false), "lead"),
        ],
        "replica-in-a-hole" => {
            vec![step(3_000, replica(), hole(true), "r"), step(12_000, same("r"), hole(false), "r")]
        }
        "lossy" => FIRST_GROUP.iter().map(|server| step(2_000, name(server), lossy(), "x")).collect(),
        "cut-links" => (1..6).map(|round| step(round * 2_000, primary(), cut(), "x")).collect(),
        "resets" => (1..6)
            .map(|round| {
                let target = if round % 2 == 0 { primary() } else { replica() };
                step(round * 2_000, target, reset(), "x")
            })
            .collect(),
        "all-bad" => FIRST_GROUP.iter().map(|server| step(3_000, name(server), reset(), "x")).collect(),
        _ => return None,
    })
}

/// Faults of nodes.
fn node_scenario(scenario: &str) -> Option<Vec<Step>> {
    Some(match scenario {
        "node-killed" => vec![
            final_step(step(3_000, name("n2"), Action::Kill, "n")),
            step(9_000, name("n2"), Action::Start, "n"),
        ],
        "node-paused" => {
            vec![step(3_000, name("n2"), Action::Pause, "n"), step(10_000, name("n2"), Action::Continue, "n")]
        }
        "nodes-restarted" => {
            let mut steps = Vec::new();
            for (node, at) in [("n1", 2_000), ("n2", 7_000), ("n3", 12_000)] {
                steps.push(step(at, name(node), Action::Stop, "n"));
                steps.push(step(at + 1_500, name(node), Action::Start, "n"));
            }
            steps
        }
        "node-slowed" => {
            let mut steps = Vec::new();
            for round in 0..12 {
                let at = 3_000 + round * 900;
                steps.push(step(at, name("n2"), Action::Pause, "n"));
                steps.push(step(at + 600, name("n2"), Action::Continue, "n"));
            }
            steps
        }
        _ => return None,
    })
}

/// Faults of keepers, while configurations are pushed.
fn keeper_scenario(scenario: &str) -> Option<Vec<Step>> {
    Some(match scenario {
        "head-killed" => vec![
            final_step(step(3_000, Target::Head, Action::Kill, "k")),
            push(4_000),
            step(9_000, same("k"), Action::Start, "k"),
            push(13_000),
        ],
        "tail-killed" => vec![
            final_step(step(3_000, Target::Tail, Action::Kill, "k")),
            push(3_500),
            step(9_000, same("k"), Action::Start, "k"),
            push(13_000),
        ],
        "keeper-paused" => vec![
            step(3_000, Target::Tail, Action::Pause, "k"),
            push(6_000),
            step(9_000, same("k"), Action::Continue, "k"),
        ],
        "pushes" => (1..5).map(|round| push(round * 2_500)).collect(),
        _ => return None,
    })
}

/// Scenarios without faults, with sudden load, and with faults of several kinds.
fn combined_scenario(scenario: &str) -> Option<Vec<Step>> {
    let crowd = |at| step(at, name("n1"), Action::ExtraCallers, "c");
    Some(match scenario {
        "calm" => vec![],
        "crowd" => vec![crowd(3_000), crowd(10_000)],
        "crowd-and-kill" => vec![
            crowd(3_000),
            final_step(step(4_000, primary(), Action::Kill, "lead")),
            step(12_000, same("lead"), Action::Start, "lead"),
        ],
        "mixed" => vec![
            push(1_500),
            step(2_000, replica(), stall(true), "r"),
            step(4_000, primary(), lose_answers(10), "a"),
            step(5_000, Target::Tail, Action::Kill, "k"),
            step(8_000, same("r"), stall(false), "r"),
            final_step(step(9_000, primary(), Action::Kill, "lead")),
            step(10_000, name("n3"), Action::Stop, "n"),
            step(12_000, name("n3"), Action::Start, "n"),
            step(14_000, same("k"), Action::Start, "k"),
            step(17_000, same("lead"), Action::Start, "lead"),
        ],
        _ => return None,
    })
}
