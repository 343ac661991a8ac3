//! The metrics that are derived from a keeper's status.
use quincehatch_core::Name;
use quincehatch_metrics::render;
use quincehatch_store::messages::{KeeperStatus, LeaseStatus, PollCounts};
use quincehatch_store::metrics::keeper_metrics;
use quincehatch_store::{View, Voter};

fn status_of(name: &str) -> KeeperStatus {
    let members: Vec<Name> = vec!["k1".into(), "k2".into()];
    let voters = members.iter().map(|name| Voter { name: name.clone(), addr: "a".into() }).collect();
    let lease = |node: &str, remaining_ms, applied| LeaseStatus {
        node: node.into(),
        addr: "a".into(),
        remaining_ms,
        applied,
    };
    KeeperStatus {
        name: name.into(),
        view: View { version: 7, members, voters },
        last_change: 30,
        committed: 29,
        in_force: 28,
        serving: true,
        polls: PollCounts { waiting: 2, answered: 40 },
        leases: vec![lease("n1", 2_500, 28), lease("n2", 3_000, 27)],
        ..KeeperStatus::default()
    }
}

#[test]
fn metrics_of_a_member_report_its_position_progress_and_leases() {
    let text = render(keeper_metrics(&status_of("k2")));
    for line in [
        "quincehatch_view_version 7.0",
        "quincehatch_chain_position 2.0",
        "quincehatch_serves 1.0",
        "quincehatch_change_held 30.0",
        "quincehatch_change_committed 29.0",
        "quincehatch_change_in_force 28.0",
        "quincehatch_lease_shortest_seconds 2.5",
        "quincehatch_lease_oldest_change 27.0",
        "quincehatch_polls_waiting 2.0",
        "quincehatch_polls_answered_total 40.0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
}

#[test]
fn metrics_of_a_keeper_outside_the_chain_report_position_0_and_no_vote() {
    let text = render(keeper_metrics(&status_of("k9")));
    assert!(
        text.contains("quincehatch_chain_position 0.0") && text.contains("quincehatch_votes 0.0"),
        "{text}"
    );
}
