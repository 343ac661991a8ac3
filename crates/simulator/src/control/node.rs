//! Simulated nodes that poll the tail's feed and hold the lease it grants, as the daemon's feed task does.
use super::cluster::Cluster;
use super::history::{Applied, Document};
use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::{now, seam};
use quincehatch_store::timing::minus_clock_drift;
use quincehatch_store::{Answer, Command, FeedState, Reply, Request};
use std::sync::Arc;
use std::time::Duration;

const POLL_TIMEOUT: Duration = Duration::from_millis(600);
const ENROLL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// A node's copy of the configuration, and its lease on it.
struct Node {
    cluster: Arc<Cluster>,
    name: Name,
    store_client: StoreClient,
    /// The change that enrolled the node; 0 while it is not enrolled.
    enrolled: ChangeNumber,
    enroll_attempts: u64,
    feed_state: FeedState,
    /// End of the lease, in the node's local time.
    lease_until: Millis,
}

pub fn start(cluster: &Arc<Cluster>) {
    for number in 0..cluster.parameters.nodes {
        let name = Name::from(format!("node-{number}"));
        let (node_cluster, node_name) = (cluster.clone(), name.clone());
        let start_node = move |_: &Arc<_>, _| {
            let node = Node::new(node_cluster.clone(), node_name.clone());
            seam::spawn(node.follow_feed());
        };
        cluster.simulation.add_process(&name, Arc::new(start_node), false);
    }
}

impl Node {
    fn new(cluster: Arc<Cluster>, name: Name) -> Node {
        let seeds: Vec<String> = cluster.addresses().iter().map(Name::to_string).collect();
        let client = StoreClient::new(&name, &seeds);
        Node {
            cluster,
            name,
            store_client: client,
            enrolled: 0,
            enroll_attempts: 0,
            feed_state: FeedState::default(),
            lease_until: 0,
        }
    }

    async fn follow_feed(mut self) {
        let mut to = self.store_client.tail_address();
        while !self.cluster.stopped() {
            let seeds: Vec<String> = self.cluster.addresses().iter().map(Name::to_string).collect();
            self.store_client.set_keepers(&seeds);
            if self.enrolled == 0 {
                self.enroll().await;
                continue;
            }
            to = self.poll(to).await;
            self.record_applied();
            seam::sleep(POLL_INTERVAL).await;
        }
    }

    async fn enroll(&mut self) {
        self.enroll_attempts += 1;
        let (node, node_incarnation) = (self.name.clone(), seam::incarnation());
        let key = format!("enroll/{node}/{node_incarnation:x}/{}", self.enroll_attempts);
        match self
            .store_client
            .write(&key, Command::EnrollNode { node, incarnation: node_incarnation }, ENROLL_TIMEOUT)
            .await
        {
            Ok(Answer::Enrolled(entry)) => self.enrolled = entry,
            _ => seam::sleep(POLL_INTERVAL).await,
        }
    }

    /// Polls the feed at `to` once, and returns the address for the next poll.
    async fn poll(&mut self, to: String) -> String {
        let sent_at = now();
        let (node, known_change) = (self.name.clone(), self.feed_state.last_change);
        let (addr, applied, enrolled) = (node.clone(), self.feed_state.configuration_version, self.enrolled);
        let request = Request::Feed { node, addr, last_change: known_change, applied, enrolled };
        match self.store_client.call(&to, request, POLL_TIMEOUT).await {
            Ok(Reply::Changes { changes, lease_ms }) => {
                if changes.iter().all(|change| self.feed_state.apply(change)) {
                    self.lease_until = sent_at + minus_clock_drift(lease_ms);
                }
            }
            Ok(Reply::PackedSnapshot { snapshot, lease_ms }) => {
                let newer_state = snapshot
                    .unpack()
                    .filter(|snapshot| snapshot.last_change >= self.feed_state.last_change)
                    .and_then(FeedState::from_snapshot);
                if let Some(state) = newer_state {
                    self.feed_state = state;
                    if lease_ms > 0 {
                        self.lease_until = sent_at + minus_clock_drift(lease_ms);
                    }
                }
            }
            Ok(Reply::Redirect { view }) => {
                self.store_client.adopt_view_if_newer(view);
                return self.store_client.tail_after_failure(&to).await;
            }
            Ok(Reply::NotEnrolled) => self.enrolled = 0,
            _ => {
                self.store_client.refresh_view().await;
                return self.store_client.tail_address();
            }
        }
        to
    }

    /// Records the document that the node has in force, if its lease is valid.
    fn record_applied(&self) {
        if now() < self.lease_until {
            let (node, at) = (self.name.clone(), self.cluster.simulation.now());
            let document = Document::parse(&self.feed_state.configuration_json);
            self.cluster.history.lock().unwrap().applied.push(Applied { node, observed_at: at, document });
        }
    }
}
