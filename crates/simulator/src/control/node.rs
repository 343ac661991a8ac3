//! Nodes that follow the tail's feed and hold a lease along it, as the daemon's feed task does.
use super::cluster::Cluster;
use super::history::{Applied, Document};
use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::{now, seam};
use quincehatch_store::timing::minus_clock_drift;
use quincehatch_store::{Answer, Command, FeedState, Reply, Request};
use std::sync::Arc;
use std::time::Duration;

const POLL_WITHIN: Duration = Duration::from_millis(600);
const ENROLL_WITHIN: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(40);

struct Node {
    cluster: Arc<Cluster>,
    name: Name,
    store_client: StoreClient,
    enrolled: ChangeNumber,
    tries: u64,
    feed_state: FeedState,
    lease_until: Millis,
}

pub fn start(cluster: &Arc<Cluster>) {
    for number in 0..cluster.parameters.nodes {
        let name = Name::from(format!("node-{number}"));
        let (shared, host) = (cluster.clone(), name.clone());
        let begin = move |_: &Arc<_>, _| {
            let node = Node::new(shared.clone(), host.clone());
            seam::spawn(node.follow_feed());
        };
        cluster.core.add_process(&name, Arc::new(begin), false);
    }
}

impl Node {
    fn new(cluster: Arc<Cluster>, name: Name) -> Node {
        let seeds: Vec<String> = cluster.addresses().iter().map(Name::to_string).collect();
        let chain = StoreClient::new(&name, &seeds);
        Node {
            cluster,
            name,
            store_client: chain,
            enrolled: 0,
            tries: 0,
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
        self.tries += 1;
        let (node, life) = (self.name.clone(), seam::incarnation());
        let key = format!("enroll/{node}/{life:x}/{}", self.tries);
        match self
            .store_client
            .write(&key, Command::EnrollNode { node, incarnation: life }, ENROLL_WITHIN)
            .await
        {
            Ok(Answer::Enrolled(entry)) => self.enrolled = entry,
            _ => seam::sleep(POLL_INTERVAL).await,
        }
    }

    /// One poll; where the next one goes.
    async fn poll(&mut self, to: String) -> String {
        let asked = now();
        let (node, have) = (self.name.clone(), self.feed_state.last_change);
        let (addr, applied, enrolled) = (node.clone(), self.feed_state.configuration_version, self.enrolled);
        let ask = Request::Feed { node, addr, last_change: have, applied, enrolled };
        match self.store_client.call(&to, ask, POLL_WITHIN).await {
            Ok(Reply::Changes { changes, lease_ms }) => {
                if changes.iter().all(|change| self.feed_state.apply(change)) {
                    self.lease_until = asked + minus_clock_drift(lease_ms);
                }
            }
            Ok(Reply::PackedSnapshot { snapshot, lease_ms }) => {
                let newer = snapshot
                    .unpack()
                    .filter(|snapshot| snapshot.last_change >= self.feed_state.last_change)
                    .and_then(FeedState::from_snapshot);
                if let Some(known) = newer {
                    self.feed_state = known;
                    if lease_ms > 0 {
                        self.lease_until = asked + minus_clock_drift(lease_ms);
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

    /// What the node has in force while its lease holds.
    fn record_applied(&self) {
        if now() < self.lease_until {
            let (node, at) = (self.name.clone(), self.cluster.core.now());
            let document = Document::parse(&self.feed_state.configuration_json);
            self.cluster.history.lock().unwrap().applied.push(Applied { node, observed_at: at, document });
        }
    }
}
