//! The scenarios by name (§9.2).
use crate::script::{Action, Step, Target, fault, final_step, name, step};

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
    let lead = || Target::Primary("g1".into());
    let rep = || Target::Replica("g1".into());
    let same = Target::SameAs;
    Some(match scenario {
        "calm" => vec![],
        "lead-killed" => {
            vec![
                final_step(step(3_000, lead(), Action::Kill, "lead")),
                step(14_000, same("lead"), Action::Start, "lead"),
            ]
        }
        "lead-paused" => {
            vec![
                final_step(step(3_000, lead(), Action::Pause, "lead")),
                step(13_000, same("lead"), Action::Continue, "lead"),
            ]
        }
        "lead-stalled" => vec![
            final_step(step(3_000, lead(), fault(|w| w.stall = Some(true)), "lead")),
            step(16_000, same("lead"), fault(|w| w.stall = Some(false)), "lead"),
        ],
        "lead-leaves" => vec![
            final_step(step(3_000, lead(), Action::Drain, "lead")),
            step(12_000, same("lead"), Action::Kill, "lead"),
            step(14_000, same("lead"), Action::Start, "lead"),
        ],
        "lost-answers" => vec![
            step(2_000, lead(), fault(|w| w.lose_answers = Some(20)), "a"),
            step(5_000, lead(), fault(|w| w.lose_answers = Some(20)), "b"),
        ],
        "replica-stalled" => vec![
            step(3_000, rep(), fault(|w| w.stall = Some(true)), "r"),
            step(12_000, same("r"), fault(|w| w.stall = Some(false)), "r"),
        ],
        "replica-dark" => vec![
            step(3_000, rep(), fault(|w| w.dark = Some(true)), "r"),
            step(12_000, same("r"), fault(|w| w.dark = Some(false)), "r"),
        ],
        "lead-in-a-hole" => vec![
            final_step(step(3_000, lead(), fault(|w| w.hole = Some(true)), "lead")),
            step(15_000, same("lead"), fault(|w| w.hole = Some(false)), "lead"),
        ],
        "replica-in-a-hole" => vec![
            step(3_000, rep(), fault(|w| w.hole = Some(true)), "r"),
            step(12_000, same("r"), fault(|w| w.hole = Some(false)), "r"),
        ],
        "lossy" => ["g1s1", "g1s2", "g1s3"]
            .iter()
            .map(|s| step(2_000, name(s), fault(|w| (w.drop_pm, w.delay_ms) = (Some(40), Some(5))), "x"))
            .collect(),
        "cut-links" => (1..6).map(|i| step(i * 2_000, lead(), fault(|w| w.cut = Some(true)), "x")).collect(),
        "replica-leaves" => vec![
            step(3_000, rep(), Action::Drain, "r"),
            step(12_000, same("r"), Action::Kill, "r"),
            step(13_000, same("r"), Action::Start, "r"),
        ],
        "lead-hiccups" => (0..4)
            .flat_map(|i| {
                let at = 2_000 + i * 4_000;
                let stall = |on| fault(|w| w.stall = Some(on));
                [step(at, lead(), stall(true), "h"), step(at + 1_500, same("h"), stall(false), "h")]
            })
            .collect(),
        "crowd" => vec![
            step(3_000, name("n1"), Action::ExtraCallers, "c"),
            step(10_000, name("n1"), Action::ExtraCallers, "c"),
        ],
        "crowd-and-kill" => vec![
            step(3_000, name("n1"), Action::ExtraCallers, "c"),
            final_step(step(4_000, lead(), Action::Kill, "lead")),
            step(12_000, same("lead"), Action::Start, "lead"),
        ],
        "node-slowed" => (0..12)
            .flat_map(|i| {
                let at = 3_000 + i * 900;
                [step(at, name("n2"), Action::Pause, "n"), step(at + 600, name("n2"), Action::Continue, "n")]
            })
            .collect(),
        "server-slowed" => vec![
            step(3_000, rep(), fault(|w| w.slow_ms = Some(400)), "r"),
            step(6_000, lead(), fault(|w| w.slow_ms = Some(60)), "l"),
            step(12_000, same("r"), fault(|w| w.slow_ms = Some(0)), "r"),
            step(12_500, same("l"), fault(|w| w.slow_ms = Some(0)), "l"),
        ],
        // One replica stops receiving; the lead dies: what was acknowledged stands on the other.
        "replicas-deaf" => vec![
            step(2_000, rep(), fault(|w| w.deaf = Some(true)), "r"),
            final_step(step(6_000, lead(), Action::Kill, "lead")),
            step(12_000, same("r"), fault(|w| w.deaf = Some(false)), "r"),
            step(14_000, same("lead"), Action::Start, "lead"),
        ],
        "replica-killed" => {
            vec![step(3_000, rep(), Action::Kill, "r"), step(9_000, same("r"), Action::Start, "r")]
        }
        "resets" => (1..6)
            .map(|i| {
                step(i * 2_000, if i % 2 == 0 { lead() } else { rep() }, fault(|w| w.reset = Some(true)), "x")
            })
            .collect(),
        "all-bad" => ["g1s1", "g1s2", "g1s3"]
            .iter()
            .map(|s| step(3_000, name(s), fault(|w| w.reset = Some(true)), "x"))
            .collect(),
        "lagging" => vec![
            step(3_000, rep(), fault(|w| w.lag_ms = Some(1_200)), "r"),
            step(12_000, same("r"), fault(|w| w.lag_ms = Some(0)), "r"),
        ],
        "lag-and-kill" => vec![
            step(3_000, rep(), fault(|w| w.lag_ms = Some(700)), "r"),
            final_step(step(6_000, lead(), Action::Kill, "lead")),
            step(14_000, same("r"), fault(|w| w.lag_ms = Some(0)), "r"),
            step(16_000, same("lead"), Action::Start, "lead"),
        ],
        "node-killed" => {
            vec![
                final_step(step(3_000, name("n2"), Action::Kill, "n")),
                step(9_000, name("n2"), Action::Start, "n"),
            ]
        }
        "node-paused" => {
            vec![step(3_000, name("n2"), Action::Pause, "n"), step(10_000, name("n2"), Action::Continue, "n")]
        }
        "nodes-restarted" => ["n1", "n2", "n3"]
            .iter()
            .enumerate()
            .flat_map(|(i, n)| {
                let at = 2_000 + i as u64 * 5_000;
                [step(at, name(n), Action::Stop, "n"), step(at + 1_500, name(n), Action::Start, "n")]
            })
            .collect(),
        "head-killed" => vec![
            final_step(step(3_000, Target::Head, Action::Kill, "k")),
            step(4_000, name("n1"), Action::PushConfigurations, "p"),
            step(9_000, same("k"), Action::Start, "k"),
            step(13_000, name("n1"), Action::PushConfigurations, "p"),
        ],
        "tail-killed" => vec![
            final_step(step(3_000, Target::Tail, Action::Kill, "k")),
            step(3_500, name("n1"), Action::PushConfigurations, "p"),
            step(9_000, same("k"), Action::Start, "k"),
            step(13_000, name("n1"), Action::PushConfigurations, "p"),
        ],
        "keeper-paused" => vec![
            step(3_000, Target::Tail, Action::Pause, "k"),
            step(6_000, name("n1"), Action::PushConfigurations, "p"),
            step(9_000, same("k"), Action::Continue, "k"),
        ],
        "pushes" => (1..5).map(|i| step(i * 2_500, name("n1"), Action::PushConfigurations, "p")).collect(),
        "mixed" => vec![
            step(1_500, name("n1"), Action::PushConfigurations, "p"),
            step(2_000, rep(), fault(|w| w.stall = Some(true)), "r"),
            step(4_000, lead(), fault(|w| w.lose_answers = Some(10)), "a"),
            step(5_000, Target::Tail, Action::Kill, "k"),
            step(8_000, same("r"), fault(|w| w.stall = Some(false)), "r"),
            final_step(step(9_000, lead(), Action::Kill, "lead")),
            step(10_000, name("n3"), Action::Stop, "n"),
            step(12_000, name("n3"), Action::Start, "n"),
            step(14_000, same("k"), Action::Start, "k"),
            step(17_000, same("lead"), Action::Start, "lead"),
        ],
        _ => return None,
    })
}
