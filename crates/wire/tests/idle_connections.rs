//! A listener whose connections are all taken by callers that keep them idle.
//!
//! In a fleet of 300 nodes each keeps some connections to each process that it calls now and then. A listener takes no
//! new connection while it has as many as it may: a keeper that has to tell the chain something, or a node that is to
//! answer a probe, waits behind callers that want nothing. Not mended yet (docs/incidents/large-fleet.md). Evidence: in
//! a fleet of 301 machines keepers had 400 new connections a second and up to 2,269 open, where at most 1,024 are
//! served, and nodes suspected each other in waves.
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_wire::{Call, Caller, Destination, Identity, RetrySafety, serve};
use std::time::Duration;
use tokio::net::TcpListener;

const MAX_CONNECTIONS: usize = 4;
/// No call of this test takes so long unless it is never answered.
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
    // Twice, so that those whose idle connection was given to others come back.
    for number in [7, 8] {
        for caller in &callers {
            let answer = caller.call(Destination::address(&addr), &Echo(number), TIMEOUT).await;
            assert!(matches!(answer, Ok(echoed) if echoed == number), "{answer:?}");
        }
    }
}
