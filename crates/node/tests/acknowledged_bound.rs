//! What the nodes' reports of acknowledged commits prove.
use quincehatch_core::{Name, Position};
use quincehatch_node::promotion::direct::{AcknowledgedBound, AcknowledgedReport};
use std::collections::BTreeMap;

fn at(number: u64) -> Position {
    Position { fence: 1, number }
}

fn report(node: &str, end: u64, incarnation: u64) -> (Name, AcknowledgedReport) {
    (node.into(), AcknowledgedReport { end: at(end), incarnation })
}

#[test]
fn the_acknowledged_end_is_known_when_every_process_that_may_have_acknowledged_reports() {
    let nodes = [("n1".into(), 10), ("n2".into(), 20)].into();
    let bound = AcknowledgedBound { primary_fence: 3, end: at(5), nodes };
    let acknowledged = |reports: &[(Name, AcknowledgedReport)]| {
        let reports: BTreeMap<Name, AcknowledgedReport> = reports.iter().cloned().collect();
        bound.acknowledged_end(&reports)
    };
    assert_eq!(acknowledged(&[report("n1", 7, 10), report("n2", 6, 20)]), Some(at(7)));
    // A node that came later is heard too, and the bound counts where nobody passed on more.
    let with_newcomer = [report("n1", 7, 10), report("n2", 6, 20), report("n3", 9, 30)];
    assert_eq!(acknowledged(&with_newcomer), Some(at(9)));
    assert_eq!(acknowledged(&[report("n1", 0, 10), report("n2", 0, 20)]), Some(at(5)));
    // One is missing, or began anew and has forgotten.
    assert_eq!(acknowledged(&[report("n1", 7, 10)]), None);
    assert_eq!(acknowledged(&[report("n1", 7, 10), report("n2", 6, 21)]), None);
}
