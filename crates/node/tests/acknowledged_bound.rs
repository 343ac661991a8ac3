//! Derivation of the last acknowledged commit from the nodes' reports.
use quincehatch_core::{Name, Position};
use quincehatch_node::promotion::direct::{AcknowledgedBound, AcknowledgedReport};
use std::collections::BTreeMap;

fn at(number: u64) -> Position {
    Position { fence: 1, number }
}

fn report(node: &str, end: u64, incarnation: u64) -> (Name, AcknowledgedReport) {
    (node.into(), AcknowledgedReport { end: at(end), incarnation })
}

fn enrolled(nodes: &[(&str, u64)]) -> BTreeMap<Name, u64> {
    nodes.iter().map(|(node, number)| ((*node).into(), *number)).collect()
}

#[test]
fn the_acknowledged_end_is_known_once_every_process_that_may_have_acknowledged_has_reported() {
    let nodes = [("n1".into(), 10), ("n2".into(), 20)].into();
    let bound = AcknowledgedBound { primary_fence: 3, end: at(5), nodes, enrolled_up_to: 4 };
    let acknowledged = |reports: &[(Name, AcknowledgedReport)]| {
        let reports: BTreeMap<Name, AcknowledgedReport> = reports.iter().cloned().collect();
        bound.acknowledged_end(&reports, &enrolled(&[("n1", 3), ("n2", 4)]))
    };
    assert_eq!(acknowledged(&[report("n1", 7, 10), report("n2", 6, 20)]), Some(at(7)));
    // The report of a node that joined later counts too, and the bound applies where no report exceeds it.
    let with_joined_node = [report("n1", 7, 10), report("n2", 6, 20), report("n3", 9, 30)];
    assert_eq!(acknowledged(&with_joined_node), Some(at(9)));
    assert_eq!(acknowledged(&[report("n1", 0, 10), report("n2", 0, 20)]), Some(at(5)));
    // One report is missing, or its node was restarted and has lost its record.
    assert_eq!(acknowledged(&[report("n1", 7, 10)]), None);
    assert_eq!(acknowledged(&[report("n1", 7, 10), report("n2", 6, 21)]), None);
}

/// Guards against a process that enrolled since the bound was found, acknowledged commits and lost its lease again: nobody
/// lists it among the nodes that are to report.
#[test]
fn the_acknowledged_end_is_unknown_while_a_process_that_enrolled_since_has_not_reported() {
    let nodes = [("n1".into(), 10)].into();
    let bound = AcknowledgedBound { primary_fence: 3, end: at(5), nodes, enrolled_up_to: 4 };
    let enrolled = enrolled(&[("n1", 3), ("idle", 4), ("n3", 5)]);
    let acknowledged = |reports: &[(Name, AcknowledgedReport)]| {
        let reports: BTreeMap<Name, AcknowledgedReport> = reports.iter().cloned().collect();
        bound.acknowledged_end(&reports, &enrolled)
    };
    assert_eq!(acknowledged(&[report("n1", 7, 10)]), None);
    assert_eq!(acknowledged(&[report("n1", 7, 10), report("n3", 9, 30)]), Some(at(9)));
}
