//! How a node's process enrolls while the store does not answer.
//!
//! Users saw a fleet of 300 nodes that was not served for as long as it started. A node that had no answer in two seconds
//! enrolled once more with a new key, so each attempt that the store took after all was another change: the number that
//! its node polled with was overtaken, and with some hundred of these all nodes needed snapshots again.
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{ErrorCode, Name};
use quincehatch_node::{Node, feed};
use quincehatch_store::{KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_wire::{Identity, serve};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Longer than two attempts of a node to enroll.
const OBSERVED_FOR: Duration = Duration::from_secs(5);

/// A keeper that takes no writes at this time, and records their keys.
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
async fn an_enrollment_that_is_not_answered_is_sent_again_under_its_key() {
    let (addr, keys) = overloaded_keeper().await;
    let following = tokio::spawn(feed::follow(Node::new(&settings(&addr))));
    let distinct = || keys.lock().unwrap().iter().cloned().collect::<BTreeSet<Name>>();
    let began = Instant::now();
    while began.elapsed() < OBSERVED_FOR && distinct().len() < 2 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    following.abort();
    assert!(keys.lock().unwrap().len() > 2);
    assert_eq!(distinct().len(), 1, "{:?}", distinct());
}
