//! The scenarios by name (§9.2).
use crate::script::{Act, Step, Target, last, name, step, wish};

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

/// The script of a scenario; times are from the start of the load.
pub fn named(scenario: &str) -> Option<Vec<Step>> {
    let lead = || Target::Lead("g1".into());
    let rep = || Target::Replica("g1".into());
    let same = Target::Same;
    Some(match scenario {
        "calm" => vec![],
        "lead-killed" => {
            vec![last(step(3_000, lead(), Act::Kill, "lead")), step(14_000, same("lead"), Act::Start, "lead")]
        }
        "lead-paused" => {
            vec![last(step(3_000, lead(), Act::Pause, "lead")), step(13_000, same("lead"), Act::Go, "lead")]
        }
        "lead-stalled" => vec![
            last(step(3_000, lead(), wish(|w| w.stall = Some(true)), "lead")),
            step(16_000, same("lead"), wish(|w| w.stall = Some(false)), "lead"),
        ],
        "lead-leaves" => vec![
            last(step(3_000, lead(), Act::Leave, "lead")),
            step(12_000, same("lead"), Act::Kill, "lead"),
            step(14_000, same("lead"), Act::Start, "lead"),
        ],
        "lost-answers" => vec![
            step(2_000, lead(), wish(|w| w.lose_answers = Some(20)), "a"),
            step(5_000, lead(), wish(|w| w.lose_answers = Some(20)), "b"),
        ],
        "replica-stalled" => vec![
            step(3_000, rep(), wish(|w| w.stall = Some(true)), "r"),
            step(12_000, same("r"), wish(|w| w.stall = Some(false)), "r"),
        ],
        "replica-dark" => vec![
            step(3_000, rep(), wish(|w| w.dark = Some(true)), "r"),
            step(12_000, same("r"), wish(|w| w.dark = Some(false)), "r"),
        ],
        "lead-in-a-hole" => vec![
            last(step(3_000, lead(), wish(|w| w.hole = Some(true)), "lead")),
            step(15_000, same("lead"), wish(|w| w.hole = Some(false)), "lead"),
        ],
        "replica-in-a-hole" => vec![
            step(3_000, rep(), wish(|w| w.hole = Some(true)), "r"),
            step(12_000, same("r"), wish(|w| w.hole = Some(false)), "r"),
        ],
        "lossy" => ["g1s1", "g1s2", "g1s3"]
            .iter()
            .map(|s| step(2_000, name(s), wish(|w| (w.drop_pm, w.delay_ms) = (Some(40), Some(5))), "x"))
            .collect(),
        "cut-links" => (1..6).map(|i| step(i * 2_000, lead(), wish(|w| w.cut = Some(true)), "x")).collect(),
        "replica-leaves" => vec![
            step(3_000, rep(), Act::Leave, "r"),
            step(12_000, same("r"), Act::Kill, "r"),
            step(13_000, same("r"), Act::Start, "r"),
        ],
        "lead-hiccups" => (0..4)
            .flat_map(|i| {
                let at = 2_000 + i * 4_000;
                let stall = |on| wish(|w| w.stall = Some(on));
                [step(at, lead(), stall(true), "h"), step(at + 1_500, same("h"), stall(false), "h")]
            })
            .collect(),
        "crowd" => vec![
            step(3_000, name("n1"), Act::ExtraCallers, "c"),
            step(10_000, name("n1"), Act::ExtraCallers, "c"),
        ],
        "crowd-and-kill" => vec![
            step(3_000, name("n1"), Act::ExtraCallers, "c"),
            last(step(4_000, lead(), Act::Kill, "lead")),
            step(12_000, same("lead"), Act::Start, "lead"),
        ],
        "node-slowed" => (0..12)
            .flat_map(|i| {
                let at = 3_000 + i * 900;
                [step(at, name("n2"), Act::Pause, "n"), step(at + 600, name("n2"), Act::Go, "n")]
            })
            .collect(),
        "server-slowed" => vec![
            step(3_000, rep(), wish(|w| w.slow_ms = Some(400)), "r"),
            step(6_000, lead(), wish(|w| w.slow_ms = Some(60)), "l"),
            step(12_000, same("r"), wish(|w| w.slow_ms = Some(0)), "r"),
            step(12_500, same("l"), wish(|w| w.slow_ms = Some(0)), "l"),
        ],
        // One replica stops receiving; the lead dies: what was acknowledged stands on the other.
        "replicas-deaf" => vec![
            step(2_000, rep(), wish(|w| w.deaf = Some(true)), "r"),
            last(step(6_000, lead(), Act::Kill, "lead")),
            step(12_000, same("r"), wish(|w| w.deaf = Some(false)), "r"),
            step(14_000, same("lead"), Act::Start, "lead"),
        ],
        "replica-killed" => {
            vec![step(3_000, rep(), Act::Kill, "r"), step(9_000, same("r"), Act::Start, "r")]
        }
        "resets" => (1..6)
            .map(|i| {
                step(i * 2_000, if i % 2 == 0 { lead() } else { rep() }, wish(|w| w.reset = Some(true)), "x")
            })
            .collect(),
        "all-bad" => ["g1s1", "g1s2", "g1s3"]
            .iter()
            .map(|s| step(3_000, name(s), wish(|w| w.reset = Some(true)), "x"))
            .collect(),
        "lagging" => vec![
            step(3_000, rep(), wish(|w| w.lag_ms = Some(1_200)), "r"),
            step(12_000, same("r"), wish(|w| w.lag_ms = Some(0)), "r"),
        ],
        "lag-and-kill" => vec![
            step(3_000, rep(), wish(|w| w.lag_ms = Some(700)), "r"),
            last(step(6_000, lead(), Act::Kill, "lead")),
            step(14_000, same("r"), wish(|w| w.lag_ms = Some(0)), "r"),
            step(16_000, same("lead"), Act::Start, "lead"),
        ],
        "node-killed" => {
            vec![last(step(3_000, name("n2"), Act::Kill, "n")), step(9_000, name("n2"), Act::Start, "n")]
        }
        "node-paused" => {
            vec![step(3_000, name("n2"), Act::Pause, "n"), step(10_000, name("n2"), Act::Go, "n")]
        }
        "nodes-restarted" => ["n1", "n2", "n3"]
            .iter()
            .enumerate()
            .flat_map(|(i, n)| {
                let at = 2_000 + i as u64 * 5_000;
                [step(at, name(n), Act::Stop, "n"), step(at + 1_500, name(n), Act::Start, "n")]
            })
            .collect(),
        "head-killed" => vec![
            last(step(3_000, Target::Head, Act::Kill, "k")),
            step(4_000, name("n1"), Act::PushConfigurations, "p"),
            step(9_000, same("k"), Act::Start, "k"),
            step(13_000, name("n1"), Act::PushConfigurations, "p"),
        ],
        "tail-killed" => vec![
            last(step(3_000, Target::Tail, Act::Kill, "k")),
            step(3_500, name("n1"), Act::PushConfigurations, "p"),
            step(9_000, same("k"), Act::Start, "k"),
            step(13_000, name("n1"), Act::PushConfigurations, "p"),
        ],
        "keeper-paused" => vec![
            step(3_000, Target::Tail, Act::Pause, "k"),
            step(6_000, name("n1"), Act::PushConfigurations, "p"),
            step(9_000, same("k"), Act::Go, "k"),
        ],
        "pushes" => (1..5).map(|i| step(i * 2_500, name("n1"), Act::PushConfigurations, "p")).collect(),
        "mixed" => vec![
            step(1_500, name("n1"), Act::PushConfigurations, "p"),
            step(2_000, rep(), wish(|w| w.stall = Some(true)), "r"),
            step(4_000, lead(), wish(|w| w.lose_answers = Some(10)), "a"),
            step(5_000, Target::Tail, Act::Kill, "k"),
            step(8_000, same("r"), wish(|w| w.stall = Some(false)), "r"),
            last(step(9_000, lead(), Act::Kill, "lead")),
            step(10_000, name("n3"), Act::Stop, "n"),
            step(12_000, name("n3"), Act::Start, "n"),
            step(14_000, same("k"), Act::Start, "k"),
            step(17_000, same("lead"), Act::Start, "lead"),
        ],
        _ => return None,
    })
}
