//! The simulated control plane on fixed seeds (§9.8), which replay exactly, and a test for each check that it detects
//! an injected bug.
use quincehatch_simulator::control::{Allowed, ControlReport, ControlSimOptions, run_seed};

const NO_EXTRA_FAULTS: Allowed = Allowed { moved_machines: false };
/// Number of seeds within which an injected bug must be detected.
const SEEDS: u64 = 60;

fn run_one(seed: u64, allowed: Allowed, bug: Option<&str>) -> ControlReport {
    run_seed(&ControlSimOptions { seed, allowed, bug: bug.map(str::to_owned), verbose: false })
}

#[test]
fn fixed_seeds_of_all_shapes_are_clean() {
    for seed in 1_000..1_024 {
        let report = run_one(seed, NO_EXTRA_FAULTS, None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert!(
            report.acknowledged > 0 && report.reads > 0,
            "seed {seed} lacks acknowledgements or reads: {report:?}"
        );
    }
}

/// In these seeds the keepers lost their majority, because the removal of a machine that was killed or partitioned
/// during its leave did not count as a loss.
#[test]
fn removals_of_machines_that_still_have_a_vote_count_as_losses() {
    for seed in [9_500_445, 9_500_941, 314_000_658, 314_001_442, 314_001_678, 314_001_721, 314_001_942] {
        let report = run_one(seed, NO_EXTRA_FAULTS, None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}

/// These seeds draw partitions into halves, disk losses while a minority is stale, and disk losses with a power
/// failure.
#[test]
fn faults_that_overlap_beyond_what_is_tolerated_lose_nothing() {
    for seed in [81_000_021, 81_000_034, 81_000_051, 81_000_093, 81_000_130, 81_000_597] {
        let report = run_one(seed, NO_EXTRA_FAULTS, None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert!(report.acknowledged > 0, "seed {seed} lacks acknowledgements: {report:?}");
    }
}

#[test]
fn a_seed_with_high_load_commits_over_a_thousand_changes() {
    let report = run_one(1, NO_EXTRA_FAULTS, None);
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.committed > 1_000, "{report:?}");
}

#[test]
fn a_seed_replays_exactly() {
    let (first, second) = (run_one(5, NO_EXTRA_FAULTS, None), run_one(5, NO_EXTRA_FAULTS, None));
    assert_eq!((first.trace, first.acknowledged), (second.trace, second.acknowledged));
    assert_ne!(first.trace, run_one(6, NO_EXTRA_FAULTS, None).trace);
}

/// Asserts that one of the checks detects the bug in one of [`SEEDS`] seeds from `from` on, and that the same seed has
/// no violation without the bug.
fn assert_detected(bug: &str, checks: &[&str], from: u64) {
    let detects = |report: &ControlReport| {
        report.violations.iter().any(|line| checks.iter().any(|check| line.starts_with(check)))
    };
    let detecting_seed =
        (from..from + SEEDS).find(|seed| detects(&run_one(*seed, NO_EXTRA_FAULTS, Some(bug))));
    let seed = detecting_seed
        .unwrap_or_else(|| panic!("{checks:?} did not detect the bug {bug} in {SEEDS} seeds from {from}"));
    let clean = run_one(seed, NO_EXTRA_FAULTS, None);
    assert!(clean.violations.is_empty(), "seed {seed} fails without the bug too: {:?}", clean.violations);
}

#[test]
fn a_tail_that_serves_without_its_lease_is_detected() {
    assert_detected("no-view-lease", &["C7", "C8"], 1);
}

#[test]
fn an_acknowledgement_without_a_commit_is_detected() {
    assert_detected("confirm-unseen", &["C1"], 1);
}

/// The control API compares only the number, so that two documents are acknowledged under one number.
#[test]
fn an_acknowledgement_that_ignores_the_content_is_detected() {
    assert_detected("confirm-by-number", &["C2"], 1);
}

#[test]
fn a_vote_after_the_loss_of_the_disk_is_detected() {
    assert_detected("forgotten-votes", &["C1", "C7", "C8", "C9"], 1);
}

#[test]
fn a_change_of_voters_without_a_majority_of_the_old_set_is_detected() {
    assert_detected("no-old-majority", &["C1", "C7", "C8", "C9"], 600);
}

#[test]
fn a_start_from_an_older_snapshot_is_detected() {
    assert_detected("stale-snapshot", &["C1", "C4", "C8"], 1);
}
