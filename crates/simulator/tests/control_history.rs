//! Each check of the simulated control plane's history, seen to fail on a history that is spoilt in its way (§9.8).
use quincehatch_core::Millis;
use quincehatch_simulator::control::checks::check_history;
use quincehatch_simulator::control::history::{Applied, Document, History, Read};
use quincehatch_simulator::control::{Allowed, Parameters};

fn document(number: u64, variant: u64) -> Document {
    Document { number, variant }
}

fn read(began: Millis, document: Document) -> Read {
    Read { began_at: began, ended_at: began + 10, document: Some(document) }
}

/// Two documents, each acknowledged and read back.
fn sound() -> History {
    let mut history = History { read_back: true, settled: vec![(0, 60_000)], ..Default::default() };
    for (at, number) in [(1_000, 1), (2_000, 2)] {
        let order = history.record_submission(at, document(number, 0));
        history.submissions[order].ended_at = Some(at + 100);
        history.acknowledged.push((at + 100, document(number, 0)));
        history.reads.push(read(at + 200, document(number, 0)));
    }
    history
}

/// The check that the spoilt history fails, and no other.
fn fails(check_name: &str, spoil: impl FnOnce(&mut History)) {
    let mut history = sound();
    spoil(&mut history);
    let breaches = check_history(&history, &Parameters::for_seed(1, Allowed::default()));
    assert!(!breaches.is_empty(), "{check_name} saw nothing");
    let prefix = format!("{check_name} ");
    assert!(breaches.iter().all(|breach| breach.starts_with(&prefix)), "{breaches:#?}");
}

#[test]
fn a_sound_history_has_no_breach() {
    let breaches = check_history(&sound(), &Parameters::for_seed(1, Allowed::default()));
    assert!(breaches.is_empty(), "{breaches:#?}");
}

#[test]
fn c1_sees_an_acknowledged_document_that_is_gone() {
    fails("C1", |history| {
        history.acknowledged.push((3_000, document(3, 0)));
        history.reads.push(read(3_100, document(2, 0)));
    });
}

#[test]
fn c2_sees_two_documents_under_one_number() {
    fails("C2", |history| history.acknowledged.push((3_000, document(2, 1))));
}

#[test]
fn c3_sees_a_refusal_of_what_was_acknowledged() {
    fails("C3", |history| history.rejected.push((3_000, document(1, 0))));
}

#[test]
fn c4_sees_an_older_document_after_a_newer_one() {
    fails("C4", |history| {
        history.reads.push(read(3_000, document(5, 0)));
        history.reads.push(read(3_100, document(4, 0)));
    });
}

#[test]
fn c6_sees_that_nothing_was_read_back() {
    fails("C6", |history| history.read_back = false);
}

#[test]
fn c10_sees_a_leased_node_that_is_behind() {
    let node = quincehatch_core::Name::from("node-0");
    let applied = Applied { node, observed_at: 9_000, document: Some(document(1, 0)) };
    fails("C10", |history| history.applied.push(applied));
}

#[test]
fn c_live_sees_an_order_without_its_answer() {
    fails("C-live", |history| {
        history.record_submission(10_000, document(3, 0));
    });
}
