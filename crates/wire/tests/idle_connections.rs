//! Checks that a listener at its connection limit still answers new callers while its connections are idle.
//!
//! In a cluster of 300 nodes, each node keeps some idle connections to each process that it calls now and then. A
//! listener at its limit accepts no new connection, so a keeper that has a request for the chain, or a node that must
//! answer a probe, waits behind callers that have nothing to send. In a cluster of 301 machines, keepers received 400
//! new connections a second and had up to 2,269 open, where at most 1,024 are served, and nodes suspected each other in
//! waves. This is not fixed yet (docs/incidents/large-fleet.md).
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_wire::{Call, Caller, Destination, Identity, RetrySafety, serve};
use std::time::Duration;
use tokio::net::TcpListener;

const MAX_CONNECTIONS: usize = 4;
/// Longer than any call of this test that is answered at all.
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(BorshSerialize, BorshDeserialize)]
struct Echo(u32);

impl Call for Echo {
    type Answer = u32;
    fn retry_safety(&self) -> RetrySafety {
        RetrySafety::ReadOnly
    }
    fn kind(&self) -> &'static str {
        "echo"
    }
}

#[tokio::test]
async fn a_caller_is_answered_when_others_keep_all_connections_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answer = |Echo(number)| std::future::ready(number);
    tokio::spawn(serve(listener, MAX_CONNECTIONS, Identity::new("server"), answer));
    let callers: Vec<_> =
        (0..3 * MAX_CONNECTIONS).map(|i| Caller::new(Identity::new(&format!("caller{i}")))).collect();
    // The second round makes callers call again whose idle connection was closed in favour of others.
    for number in [7, 8] {
        for caller in &callers {
            let answer = caller.call(Destination::address(&addr), &Echo(number), TIMEOUT).await;
            assert!(matches!(answer, Ok(echoed) if echoed == number), "{answer:?}");
        }
    }
}
