//! Each check of the simulated control plane's history fails on a history with the violation it is made for (§9.8).
use quincehatch_core::Millis;
use quincehatch_simulator::control::checks::check_history;
use quincehatch_simulator::control::history::{Applied, Document, History, Read};
use quincehatch_simulator::control::{Allowed, Parameters};

fn document(number: u64, variant: u64) -> Document {
    Document { number, variant }
}

fn read(sent_at: Millis, document: Document) -> Read {
    Read { began_at: sent_at, ended_at: sent_at + 10, document: Some(document) }
}

/// Returns a history without violations: two documents, each acknowledged and read back.
fn valid_history() -> History {
    let mut history = History { read_back: true, settled: vec![(0, 60_000)], ..Default::default() };
    for (at, number) in [(1_000, 1), (2_000, 2)] {
        let submission = history.record_submission(at, document(number, 0));
        history.submissions[submission].ended_at = Some(at + 100);
        history.acknowledged.push((at + 100, document(number, 0)));
        history.reads.push(read(at + 200, document(number, 0)));
    }
    history
}

/// Asserts that the check, and no other, fails on the history that `add_violation` has changed.
fn assert_only_check_fails(check_name: &str, add_violation: impl FnOnce(&mut History)) {
    let mut history = valid_history();
    add_violation(&mut history);
    let violation_lines = check_history(&history, &Parameters::for_seed(1, Allowed::default()));
    assert!(!violation_lines.is_empty(), "{check_name} reported no violation");
    let prefix = format!("{check_name} ");
    assert!(violation_lines.iter().all(|line| line.starts_with(&prefix)), "{violation_lines:#?}");
}

#[test]
fn a_valid_history_has_no_violation() {
    let violation_lines = check_history(&valid_history(), &Parameters::for_seed(1, Allowed::default()));
    assert!(violation_lines.is_empty(), "{violation_lines:#?}");
}

#[test]
fn c1_detects_the_loss_of_an_acknowledged_document() {
    assert_only_check_fails("C1", |history| {
        history.acknowledged.push((3_000, document(3, 0)));
        history.reads.push(read(3_100, document(2, 0)));
    });
}

#[test]
fn c2_detects_two_documents_under_one_number() {
    assert_only_check_fails("C2", |history| history.acknowledged.push((3_000, document(2, 1))));
}

#[test]
fn c3_detects_the_rejection_of_an_acknowledged_document() {
    assert_only_check_fails("C3", |history| history.rejected.push((3_000, document(1, 0))));
}

#[test]
fn c4_detects_a_read_of_an_older_document_after_a_newer_one() {
    assert_only_check_fails("C4", |history| {
        history.reads.push(read(3_000, document(5, 0)));
        history.reads.push(read(3_100, document(4, 0)));
    });
}

#[test]
fn c6_detects_that_no_read_was_answered_after_healing() {
    assert_only_check_fails("C6", |history| history.read_back = false);
}

#[test]
fn c10_detects_a_stale_node_with_a_valid_lease() {
    let node = quincehatch_core::Name::from("node-0");
    let applied = Applied { node, observed_at: 9_000, document: Some(document(1, 0)) };
    assert_only_check_fails("C10", |history| history.applied.push(applied));
}

#[test]
fn c_live_detects_a_submission_without_an_answer() {
    assert_only_check_fails("C-live", |history| {
        history.record_submission(10_000, document(3, 0));
    });
}
