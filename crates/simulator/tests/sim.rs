//! The simulated fleet on fixed seeds (§9.1), which replay exactly, and a test for each check that it detects a bug
//! injected into the product's code.
use quincehatch_simulator::fleet::{Report, SimOptions, run_seed};

fn run_one(seed: u64, keepers: usize, nodes: usize, groups: usize, bug: Option<&str>) -> Report {
    run_seed(&SimOptions {
        seed,
        keepers,
        nodes,
        groups,
        final_fault: false,
        promotion_faults: false,
        bug: bug.map(str::to_owned),
        verbose: false,
    })
}

fn assert_seeds_are_clean(numbers: impl Iterator<Item = u64>, keepers: usize, nodes: usize, groups: usize) {
    for seed in numbers {
        let report = run_one(seed, keepers, nodes, groups, None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert!(
            report.committed > 0 && report.reads > 0 && report.pushes > 0,
            "seed {seed} lacks orders, reads or pushes: {report:?}"
        );
    }
}

/// Every eighth seed has three groups, as with `quincehatch-lab sim`.
fn groups(seed: u64) -> usize {
    if seed.is_multiple_of(8) { 3 } else { 1 }
}

/// Asserts that one of the checks detects the bug in one of 150 seeds, and that the same seed has no violation without
/// the bug.
fn assert_detected(bug: &str, checks: &[&str]) {
    let detecting_seed = (1..=150).find(|seed| {
        let report = run_one(*seed, 3, 5, groups(*seed), Some(bug));
        report.violations.iter().any(|line| checks.iter().any(|check| line.starts_with(check)))
    });
    let seed =
        detecting_seed.unwrap_or_else(|| panic!("{checks:?} did not detect the bug {bug} in 150 seeds"));
    let clean = run_one(seed, 3, 5, groups(seed), None);
    assert!(clean.violations.is_empty(), "seed {seed} fails without the bug too: {:?}", clean.violations);
}

#[test]
fn a_fleet_with_three_keepers_has_no_violation_under_random_faults() {
    assert_seeds_are_clean(1..=12, 3, 5, 1);
}

#[test]
fn a_fleet_with_four_keepers_and_three_groups_has_no_violation_under_random_faults() {
    assert_seeds_are_clean(5_000..5_004, 4, 7, 3);
}

/// One or two processes, a machine or a zone fail for good under load, and no fault is healed: the primary, a node, the
/// head, the tail, a machine with a node and a keeper, primary and tail, primary and node, a replica, a zone.
#[test]
fn service_recovers_after_each_final_fault() {
    for seed in 1..=18 {
        let report = run_seed(&SimOptions {
            seed,
            keepers: 3,
            nodes: 6,
            groups: 1,
            final_fault: true,
            promotion_faults: false,
            bug: None,
            verbose: false,
        });
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}

/// In these seeds acknowledged orders were lost, or a group had no primary at the end (§5.5). In seed 154 two holders
/// of a singleton role overtook each other.
#[test]
fn seeds_that_lost_orders_or_primaries_have_no_violation() {
    for seed in [154, 700_294, 2_001_440, 2_000_736, 2_000_857] {
        assert_seeds_are_clean(std::iter::once(seed), 3, 5, groups(seed));
    }
}

/// Spares start and crash, nodes are stopped in the middle of a promotion, and primaries fail one after the other. In
/// the first of these seeds a lookup returned stale data.
#[test]
fn orders_survive_faults_close_to_promotions() {
    // In the last four seeds lookups were rejected while all replicas of a group were ejected, or a server was lost
    // after healing.
    for seed in (5_000_009..5_000_018).chain([9_300_131, 9_300_154, 312_000_117, 312_001_441]) {
        let (bug, groups) = (None, groups(seed));
        let options = SimOptions {
            seed,
            keepers: 3,
            nodes: 5,
            groups,
            final_fault: false,
            promotion_faults: true,
            bug,
            verbose: false,
        };
        let report = run_seed(&options);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}

#[test]
fn a_seed_replays_exactly() {
    let (first, second) = (run_one(3, 3, 5, 1, None), run_one(3, 3, 5, 1, None));
    assert_eq!(
        (first.trace, first.committed, first.messages_sent),
        (second.trace, second.committed, second.messages_sent)
    );
    assert_ne!(first.trace, run_one(4, 3, 5, 1, None).trace);
}

/// Each bug with the invariants, one of whose checks must detect it; docs/design.md §1 has the same table.
const BUGS: &[(&str, &[&str])] = &[
    ("sent-twice", &["N1"]),
    ("early-ack", &["N2"]),
    ("short-log", &["N2"]),
    ("unfenced", &["N2"]),
    ("no-seal", &["N3"]),
    ("foreign-stamp", &["N4"]),
    ("no-lease", &["N5", "N10"]),
    ("stale-lookup", &["N6"]),
    ("lent", &["N7"]),
    ("no-reset", &["N7"]),
    ("changed-text", &["N8"]),
    ("work-after-leaving", &["N9"]),
    ("early-push", &["N10"]),
    ("stale-tail", &["N10"]),
    ("unsynced", &["N10", "N11"]),
    ("taken-invalid", &["N11"]),
];

#[test]
fn each_injected_bug_is_detected_by_its_check() {
    std::thread::scope(|scope| {
        for (bug, checks) in BUGS {
            scope.spawn(move || assert_detected(bug, checks));
        }
    });
}
