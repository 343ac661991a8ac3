//! The active processes: those node processes that may serve clients, and so may pass on acknowledgements.
//!
//! A process serves clients only under a lease, and the tail of the store's chain grants leases only to enrolled
//! processes, which the feed lists. So each process is queried for its incarnation only once: while its enrollment
//! stays the same, it is the same process. With hundreds of nodes and groups, querying all nodes for each group every
//! three seconds took most of the calls between nodes.
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_store::{Reply, Request};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The timeout of the query to the tail for the nodes that hold leases.
pub(super) const LEASES_TIMEOUT: Duration = Duration::from_millis(400);

/// A node's process that has reported its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownProcess {
    enrolled: ChangeNumber,
    incarnation: u64,
}

/// The processes that have reported their incarnation, by node.
#[derive(Default)]
pub struct KnownProcesses(Mutex<BTreeMap<Name, KnownProcess>>);

/// The processes that may serve clients.
pub(super) struct ActiveProcesses {
    /// The incarnations of the processes, by node.
    pub incarnations: BTreeMap<Name, u64>,
    /// Whether every active process is among them.
    pub complete: bool,
    /// The latest enrollment of a process, active or not.
    pub enrolled_up_to: ChangeNumber,
}

impl KnownProcesses {
    /// Removes processes that are no longer enrolled, or whose node has enrolled again.
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

/// Returns the processes that may serve clients now: all enrolled processes except those of nodes that are not live and
/// hold no lease. Processes whose incarnation is unknown are queried with a request about `group`.
pub(super) async fn active_processes(node: &Arc<Node>, group: &Name) -> ActiveProcesses {
    let mut enrolled = node.feed_state.lock().unwrap().nodes.clone();
    let enrolled_up_to = enrolled.values().max().copied().unwrap_or_default();
    let known = &node.promotion_state.known_processes;
    known.retain_enrolled(&enrolled);
    let live: BTreeSet<Name> = node.gossip.live_names().into_iter().collect();
    if enrolled.keys().any(|name| !live.contains(name)) {
        let Some(holders) = lease_holders(node).await else {
            return ActiveProcesses { incarnations: BTreeMap::new(), complete: false, enrolled_up_to };
        };
        enrolled.retain(|name, _| live.contains(name) || holders.contains(name));
    }
    query_unknown_processes(node, group, &enrolled).await;
    let incarnation = |name: &Name| known.incarnation(name).map(|incarnation| (name.clone(), incarnation));
    let incarnations: BTreeMap<Name, u64> = enrolled.keys().filter_map(incarnation).collect();
    let complete = incarnations.len() == enrolled.len();
    ActiveProcesses { incarnations, complete, enrolled_up_to }
}

/// Returns the nodes that hold leases; `None` if no keeper answers that serves as the tail. Any other keeper knows of no
/// leases.
pub(super) async fn lease_holders(node: &Node) -> Option<BTreeSet<Name>> {
    let tail = node.store_client.tail_address();
    match node.store_client.call(&tail, Request::Status, LEASES_TIMEOUT).await {
        Ok(Reply::Status { status }) if status.serving => {
            Some(status.leases.into_iter().map(|lease| lease.node).collect())
        }
        _ => None,
    }
}

async fn query_unknown_processes(node: &Arc<Node>, group: &Name, enrolled: &BTreeMap<Name, ChangeNumber>) {
    let known = &node.promotion_state.known_processes;
    let unknown: Vec<Name> =
        enrolled.keys().filter(|name| known.incarnation(name).is_none()).cloned().collect();
    // A fence of 0 prevents no acknowledgements: only the incarnations in the replies are used.
    let query = NodeQuery::AcknowledgedRange { group: group.clone(), fence: 0 };
    for (name, reply) in node.gossip.query_all(unknown, query).await {
        let Some(NodeReply::AcknowledgedRange { incarnation, .. }) = reply else { continue };
        if let Some(number) = enrolled.get(&name) {
            known.record(&name, KnownProcess { enrolled: *number, incarnation });
        }
    }
}
