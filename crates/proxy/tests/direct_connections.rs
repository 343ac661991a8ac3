//! Tests of how many connections a proxy opens to a server that many proxies share.
#[allow(dead_code, reason = "each test file uses a part of the fake servers")]
mod fake_servers;

use fake_servers::{Fault, Fixture, execute, read, write};
use quincehatch_proxy::direct::SessionCommand;
use quincehatch_proxy::direct::check_out::{CheckoutRequest, check_out};
use quincehatch_proxy::direct::connection::SessionSettings;
use quincehatch_proxy::ports::RejectReason;
use quincehatch_runtime::{now, seam};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[tokio::test]
async fn two_transactions_run_at_once_when_the_even_share_is_one_connection() {
    let fixture = Fixture::new();
    fixture.direct.live_nodes.store(40, Ordering::SeqCst);
    assert_eq!(fixture.direct.connection_share("g1").even, 1);
    let (mut first, mut second) = (fixture.session("orders").await, fixture.session("orders").await);
    for session in [&mut first, &mut second] {
        execute(session, SessionCommand::Begin { read_only: false }).await;
        let response = execute(session, write("x")).await;
        assert!(response.result.is_ok(), "{response:?}");
    }
    for session in [&mut first, &mut second] {
        assert!(execute(session, SessionCommand::Commit).await.result.is_ok());
    }
    assert_eq!(fixture.committed().len(), 2);
}

#[tokio::test]
async fn connections_above_the_even_share_are_bounded_by_an_eighth_of_the_servers_limit() {
    let fixture = Fixture::new();
    for nodes in [1, 2, 9, 40, 400] {
        fixture.direct.live_nodes.store(nodes, Ordering::SeqCst);
        let share = fixture.direct.connection_share("g1");
        assert!(share.max >= share.even && share.max <= share.even.max(20 / 8), "{nodes} nodes: {share:?}");
    }
}

#[tokio::test]
async fn a_full_server_is_retried_when_no_connection_is_handed_over() {
    let fixture = Fixture::new();
    fixture.group.with_server("s1", |server| server.connections_to_reject = 1);
    let mut session = fixture.session("orders").await;
    let started = Instant::now();
    let response = execute(&mut session, read("x")).await;
    assert!(response.result.is_ok(), "{response:?}");
    assert!(started.elapsed() < Duration::from_millis(250), "{:?}", started.elapsed());
}

#[tokio::test]
async fn no_reply_stays_pending_after_a_hedge_on_another_server_succeeded() {
    let fixture = Fixture::new();
    fixture.direct.proxy.registry.record_primary_position("g1", now(), Default::default());
    let mut session = fixture.session("lookups").await;
    for server in ["s2", "s3"] {
        (0..4).for_each(|_| fixture.direct.proxy.retry_budget.add_request_credit());
        fixture.inject(server, Fault::NoReply);
        let response = execute(&mut session, read("x")).await;
        assert!(response.result.is_ok(), "{response:?}");
    }
    for server in fixture.direct.proxy.registry.servers() {
        assert_eq!(server.health.lock().unwrap().overdue.pending_count(), 0, "{}", server.name);
    }
}

fn request(settings: &SessionSettings) -> CheckoutRequest<'_> {
    CheckoutRequest { tenant: None, settings, priority: 1, deadline: now() + 1_000 }
}

/// A waiter may be dropped before a connection is handed over to it, for instance a read whose hedge succeeded. If the
/// connection stayed counted as checked out, the proxy would run out of connections to the server until a restart.
#[tokio::test]
async fn a_connection_is_not_lost_when_the_waiter_it_was_handed_to_is_dropped() {
    let fixture = Fixture::new();
    let server = fixture.direct.proxy.registry.server("s1").unwrap();
    let max = fixture.direct.connection_share("g1").max;
    let settings = SessionSettings::default();
    for _ in 0..3 * max {
        let mut checkouts = Vec::new();
        for _ in 0..max {
            let checkout = check_out(&fixture.direct, &server, request(&settings)).await;
            checkouts.push(checkout.unwrap());
        }
        let mut waiter = Box::pin(check_out(&fixture.direct, &server, request(&settings)));
        assert!(seam::select_first(waiter.as_mut(), std::future::ready(())).await.is_err());
        checkouts.into_iter().for_each(|checkout| checkout.check_in());
        drop(waiter);
        assert_eq!(server.direct_pool.checked_out(), 0);
    }
}

/// Guards against closing idle connections too early in a fleet of 300 nodes: each node may have three connections to a
/// server, and if it closes all of them after 750 ms of idleness, nearly each request opens one (249,000 connections
/// for 256,000 requests). Opening takes more of the server's slots than the request, so busy servers reject the rest.
#[tokio::test]
async fn an_idle_connection_is_reused_when_the_even_share_is_a_few_connections() {
    let fixture = Fixture::new();
    const NODES: usize = 6;
    fixture.direct.live_nodes.store(NODES, Ordering::SeqCst);
    assert_eq!(fixture.direct.connection_share("g1").even, 3);
    let trim_task = tokio::spawn(fixture.direct.clone().trim_idle_connections(|| NODES));
    let mut session = fixture.session("orders").await;
    for _ in 0..2 {
        let response = execute(&mut session, read("x")).await;
        assert!(response.result.is_ok(), "{response:?}");
        seam::sleep(Duration::from_millis(1_600)).await;
    }
    trim_task.abort();
    let opened: usize = ["s1", "s2", "s3"]
        .map(|name| fixture.group.with_server(name, |server| server.connections_opened))
        .into_iter()
        .sum();
    assert_eq!(opened, 1);
}

/// Guards against a server that stays overloaded after its queue was full: statements take longer, so each node has
/// more of them in flight and opens more connections, each of which costs the server twice the time of a statement. In
/// a fleet of 300 nodes the busiest server rejected 114,000 of 253,000 requests, although nine tenths of its load were
/// within its capacity.
#[tokio::test]
async fn no_second_connection_is_opened_to_a_congested_server() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    let server = fixture.direct.proxy.registry.server("s1").unwrap();
    let started = now();
    assert_eq!(server.direct_pool.congested_until(), 0);
    // The first attempt is rejected, and the second one uses the same connection.
    fixture.inject("s1", Fault::Reject(RejectReason::Busy));
    let response = execute(&mut session, read("x")).await;
    assert!(response.result.is_ok(), "{response:?}");
    assert!(server.direct_pool.congested_until() > started);
    assert_eq!(fixture.group.with_server("s1", |server| server.connections_opened), 1);
}
