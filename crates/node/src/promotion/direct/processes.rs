//! The processes of nodes that may act, without asking each of them each time.
//!
//! A process acts only under a lease, and the tail grants leases to enrolled processes alone; which these are is in the
//! feed. So a process needs to be asked once which one it is: while its enrollment stays the same it is the same process.
//! To ask all nodes for each group every three seconds took most of the calls between nodes where there are hundreds of
//! both.
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_store::{Reply, Request};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The tail has this long to name the nodes that hold leases.
pub(super) const LEASES_TIMEOUT: Duration = Duration::from_millis(400);

/// The process of a node that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownProcess {
    enrolled: ChangeNumber,
    incarnation: u64,
}

/// What the nodes' processes answered, by node.
#[derive(Default)]
pub struct KnownProcesses(Mutex<BTreeMap<Name, KnownProcess>>);

/// The processes that may act.
pub(super) struct ActingProcesses {
    /// Their incarnations, by node.
    pub incarnations: BTreeMap<Name, u64>,
    /// Every process that may act is among them.
    pub complete: bool,
}

impl KnownProcesses {
    /// Forgets processes that are enrolled no more, or were enrolled anew.
    fn retain_enrolled(&self, enrolled: &BTreeMap<Name, ChangeNumber>) {
        let is_enrolled = |name: &Name, process: &KnownProcess| enrolled.get(name) == Some(&process.enrolled);
        self.0.lock().unwrap().retain(|name, process| is_enrolled(name, process));
    }

    fn record(&self, name: &Name, process: KnownProcess) {
        self.0.lock().unwrap().insert(name.clone(), process);
    }

    fn incarnation(&self, name: &Name) -> Option<u64> {
        self.0.lock().unwrap().get(name).map(|process| process.incarnation)
    }
}

/// The processes that may act now: all that are enrolled, but for those that others consider gone and that hold no lease.
/// Those that are not known yet are asked, with a question about `group`.
pub(super) async fn acting_processes(node: &Arc<Node>, group: &Name) -> ActingProcesses {
    let mut enrolled = node.feed_state.lock().unwrap().nodes.clone();
    let known = &node.promotion_state.known_processes;
    known.retain_enrolled(&enrolled);
    let live: BTreeSet<Name> = node.gossip.live_names().into_iter().collect();
    if enrolled.keys().any(|name| !live.contains(name)) {
        let Some(holders) = lease_holders(node).await else {
            return ActingProcesses { incarnations: BTreeMap::new(), complete: false };
        };
        enrolled.retain(|name, _| live.contains(name) || holders.contains(name));
    }
    ask_unknown(node, group, &enrolled).await;
    let incarnation = |name: &Name| known.incarnation(name).map(|incarnation| (name.clone(), incarnation));
    let incarnations: BTreeMap<Name, u64> = enrolled.keys().filter_map(incarnation).collect();
    let complete = incarnations.len() == enrolled.len();
    ActingProcesses { incarnations, complete }
}

/// The nodes that hold leases; `None` if the tail does not answer.
pub(super) async fn lease_holders(node: &Node) -> Option<BTreeSet<Name>> {
    let tail = node.store_client.tail_address();
    match node.store_client.call(&tail, Request::Status, LEASES_TIMEOUT).await {
        Ok(Reply::Status { status }) => Some(status.leases.into_iter().map(|lease| lease.node).collect()),
        _ => None,
    }
}

async fn ask_unknown(node: &Arc<Node>, group: &Name, enrolled: &BTreeMap<Name, ChangeNumber>) {
    let known = &node.promotion_state.known_processes;
    let unknown: Vec<Name> =
        enrolled.keys().filter(|name| known.incarnation(name).is_none()).cloned().collect();
    // A fence of 0 forbids nothing: only who answers is of interest.
    let query = NodeQuery::AcknowledgedEnd { group: group.clone(), fence: 0 };
    for (name, reply) in node.gossip.query_all(unknown, query).await {
        let Some(NodeReply::AcknowledgedEnd { incarnation, .. }) = reply else { continue };
        if let Some(number) = enrolled.get(&name) {
            known.record(&name, KnownProcess { enrolled: *number, incarnation });
        }
    }
}
