//! Enrollment of a node's process while the store does not answer.
//!
//! Guards against a failure seen by users: a fleet of 300 nodes served no requests while it started. A node without an
//! answer after two seconds enrolled again under a new key, so every attempt that the store applied late was a further
//! change. It superseded the enrollment that the node polled with, and some hundred of such changes made all nodes need
//! snapshots again.
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{ErrorCode, Name};
use quincehatch_node::{Node, feed};
use quincehatch_store::{KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_wire::{Identity, serve};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Observation time; longer than two attempts of a node to enroll.
const OBSERVED_FOR: Duration = Duration::from_secs(5);

/// Starts a keeper that rejects all writes and records their keys. Returns its address and the keys.
async fn overloaded_keeper() -> (String, Arc<Mutex<Vec<Name>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let keys = Arc::new(Mutex::new(Vec::new()));
    let recorded = keys.clone();
    let answer = move |request: KeeperRequest| {
        if let KeeperRequest::Node { request: Request::Write { key, .. } } = request {
            recorded.lock().unwrap().push(key);
        }
        let error = ErrorCode::ChainUnavailable.without_detail();
        std::future::ready(KeeperResponse::Reply { reply: Reply::Rejected { error } })
    };
    tokio::spawn(serve(listener, 64, Identity::new("k1"), answer));
    (addr, keys)
}

fn settings(keeper: &str) -> NodeSettings {
    NodeSettings {
        name: "n1".into(),
        zone: "z".into(),
        client_listener: "127.0.0.1:1".into(),
        operator_listener: "127.0.0.1:2".into(),
        gossip_listener: "127.0.0.1:3".into(),
        seeds: Vec::new(),
        keepers: vec![keeper.into()],
        platform: "127.0.0.1:5".into(),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

#[tokio::test]
async fn an_unanswered_enrollment_is_retried_with_the_same_idempotency_key() {
    let (addr, keys) = overloaded_keeper().await;
    let follow_task = tokio::spawn(feed::follow(Node::new(&settings(&addr))));
    let distinct_keys = || keys.lock().unwrap().iter().cloned().collect::<BTreeSet<Name>>();
    let started_at = Instant::now();
    while started_at.elapsed() < OBSERVED_FOR && distinct_keys().len() < 2 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    follow_task.abort();
    assert!(keys.lock().unwrap().len() > 2);
    assert_eq!(distinct_keys().len(), 1, "{:?}", distinct_keys());
}
