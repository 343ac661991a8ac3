//! All hollow nodes on one thread.
use super::{Bound, bind_many, single_thread_runtime};
use crate::cpu::current_thread;
use crate::samples::node_settings;
use crate::stub_servers::StubServers;
use quincehatch_node::{Node, peer_service};
use quincehatch_runtime::seam;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use tokio::net::TcpListener;

/// Number of seed nodes, whose addresses all nodes have in their settings.
const SEEDS: usize = 3;

/// The nodes, and the directory of their thread in `/proc`.
pub(super) struct NodeThread {
    pub(super) thread: PathBuf,
    nodes: Arc<Mutex<Vec<Arc<Node>>>>,
}

/// The part of the cluster that one node knows.
#[derive(Debug)]
pub(super) struct NodeView {
    /// Number of groups whose primary the node knows.
    pub(super) primaries: usize,
    /// Number of live nodes that the node knows, including itself.
    pub(super) live: usize,
}

impl NodeThread {
    /// Returns the current view of each node.
    pub(super) fn views(&self) -> Vec<NodeView> {
        let nodes = self.nodes.lock().unwrap();
        let view = |node: &Arc<Node>| NodeView {
            primaries: node.feed_state.lock().unwrap().primaries.len(),
            live: node.gossip.live_nodes().len(),
        };
        nodes.iter().map(view).collect()
    }

    /// Returns the smallest number of live nodes that any node knows.
    pub(super) fn fewest_live(&self) -> Option<usize> {
        self.views().iter().map(|view| view.live).min()
    }

    /// Returns the number of gossip messages that all nodes have sent so far.
    pub(super) fn gossip_messages(&self) -> u64 {
        let nodes = self.nodes.lock().unwrap();
        nodes.iter().map(|node| node.gossip.membership.lock().unwrap().messages_sent).sum()
    }
}

/// Starts `count` nodes.
pub(super) fn start(count: usize, keepers: &[String], servers: &StubServers) -> io::Result<NodeThread> {
    let bound = bind_many(count)?;
    let (thread_tx, thread_rx) = mpsc::channel();
    let nodes = Arc::new(Mutex::new(Vec::new()));
    let starter = Starter {
        seeds: bound.iter().take(SEEDS).map(|node| node.addr.clone()).collect(),
        keepers: keepers.to_vec(),
        servers: servers.clone(),
    };
    let started = nodes.clone();
    thread::spawn(move || {
        single_thread_runtime().block_on(async {
            for (index, address) in bound.into_iter().enumerate() {
                let node = starter.start_one(index, address);
                started.lock().unwrap().push(node);
            }
            let _ = thread_tx.send(current_thread());
            std::future::pending::<()>().await;
        });
    });
    Ok(NodeThread { thread: thread_rx.recv().unwrap_or_default(), nodes })
}

struct Starter {
    seeds: Vec<String>,
    keepers: Vec<String>,
    servers: StubServers,
}

impl Starter {
    fn start_one(&self, index: usize, address: Bound) -> Arc<Node> {
        let settings = node_settings(index, address.addr, self.seeds.clone(), self.keepers.clone());
        let node = Node::with_ports(&settings, Some(self.servers.ports()));
        if let Ok(listener) = TcpListener::from_std(address.listener) {
            seam::spawn(peer_service::serve(node.clone(), listener));
        }
        node.start();
        node
    }
}
