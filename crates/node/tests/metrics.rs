//! The metrics of a newly started node, and the bound on their number.
use quincehatch_config::settings::NodeSettings;
use quincehatch_failover::promotion::Phase;
use quincehatch_metrics::render;
use quincehatch_node::Node;
use quincehatch_node::metrics::node_metrics;
use quincehatch_proxy::direct::DirectProxy;
use quincehatch_proxy::ports::{ConnectRequest, OpenResult, ServerConnector};
use quincehatch_runtime::seam::BoxFuture;
use std::sync::Arc;

fn settings() -> NodeSettings {
    NodeSettings {
        name: "n1".into(),
        zone: "z".into(),
        client_listener: "127.0.0.1:1".into(),
        operator_listener: "127.0.0.1:2".into(),
        gossip_listener: "127.0.0.1:3".into(),
        seeds: Vec::new(),
        keepers: vec!["127.0.0.1:4".into()],
        platform: "127.0.0.1:5".into(),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

/// A connector whose connections are all refused.
struct NoServers;

impl ServerConnector for NoServers {
    fn connect(&self, _: ConnectRequest) -> BoxFuture<'static, std::io::Result<OpenResult>> {
        Box::pin(async { Err(std::io::ErrorKind::ConnectionRefused.into()) })
    }
}

fn rendered(node: &Arc<Node>) -> String {
    let direct = DirectProxy::new(node.proxy.clone(), Arc::new(NoServers));
    render(node_metrics(node, &direct))
}

#[tokio::test]
async fn a_node_without_a_lease_reports_that_it_is_not_ready() {
    let node = Node::new(&settings());
    let text = rendered(&node);
    for line in
        ["quincehatch_ready 0.0", "quincehatch_lease_remaining_seconds 0.0", "quincehatch_retries_left 512.0"]
    {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
}

#[tokio::test]
async fn promotions_are_reported_by_phase_and_outcome() {
    let node = Node::new(&settings());
    let counts = &node.promotion_state.counts;
    counts.record_phase(Phase::Fencing, 250);
    counts.record_phase(Phase::Fencing, 500);
    counts.record_outcome("done");
    let text = rendered(&node);
    for line in [
        "quincehatch_promotion_phases_total{phase=\"fencing\"} 2.0",
        "quincehatch_promotion_phase_seconds_total{phase=\"fencing\"} 0.75",
        "quincehatch_promotions_total{outcome=\"done\"} 1.0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
}

/// Labels name states and kinds only: a label per server, group or client would let the output grow with the fleet.
#[tokio::test]
async fn no_label_names_a_server_or_a_group() {
    let text = rendered(&Node::new(&settings()));
    for label in ["server=", "group=", "node=", "db=", "addr="] {
        assert!(!text.contains(label), "{label} in {text}");
    }
}
