//! How many connections a proxy has to a server that many proxies share.
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
        execute(session, SessionCommand::Begin { read: false }).await;
        let response = execute(session, write("x")).await;
        assert!(response.result.is_ok(), "{response:?}");
    }
    for session in [&mut first, &mut second] {
        assert!(execute(session, SessionCommand::Commit).await.result.is_ok());
    }
    assert_eq!(fixture.committed().len(), 2);
}

#[tokio::test]
async fn what_exceeds_the_even_share_is_bounded_by_what_the_server_takes() {
    let fixture = Fixture::new();
    for nodes in [1, 2, 9, 40, 400] {
        fixture.direct.live_nodes.store(nodes, Ordering::SeqCst);
        let share = fixture.direct.connection_share("g1");
        assert!(share.max >= share.even && share.max <= share.even.max(20 / 8), "{nodes} nodes: {share:?}");
    }
}

#[tokio::test]
async fn a_full_server_is_tried_again_when_nobody_hands_a_connection_on() {
    let fixture = Fixture::new();
    fixture.group.with_server("s1", |server| server.connections_to_reject = 1);
    let mut session = fixture.session("orders").await;
    let began = Instant::now();
    let response = execute(&mut session, read("x")).await;
    assert!(response.result.is_ok(), "{response:?}");
    assert!(began.elapsed() < Duration::from_millis(250), "{:?}", began.elapsed());
}

#[tokio::test]
async fn no_reply_is_pending_when_a_read_was_answered_by_another_server() {
    let fixture = Fixture::new();
    fixture.direct.proxy.registry.record_primary_position("g1", now(), Default::default());
    let mut session = fixture.session("looks").await;
    for server in ["s2", "s3"] {
        (0..4).for_each(|_| fixture.direct.proxy.retry_budget.earn());
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

/// A waiter may be gone when its connection comes (as that of a read whose hedge was answered): the connection is
/// handed on, and not counted any more. Once a proxy gave out no connection of one server until it was restarted.
#[tokio::test]
async fn a_connection_is_not_lost_when_the_waiter_it_was_handed_to_is_gone() {
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

/// Users saw a fleet of 300 nodes serve too little: of three connections that each node could hold to a server it kept
/// none for longer than 750 ms, so each of a client's requests opened one, which took more of the server's slots than
/// the request itself (249,000 connections for 256,000 requests). Busy servers then rejected the rest.
#[tokio::test]
async fn an_idle_connection_serves_the_next_request_when_each_node_may_hold_a_few() {
    let fixture = Fixture::new();
    const NODES: usize = 6;
    fixture.direct.live_nodes.store(NODES, Ordering::SeqCst);
    assert_eq!(fixture.direct.connection_share("g1").even, 3);
    let trimming = tokio::spawn(fixture.direct.clone().trim_idle_connections(|| NODES));
    let mut session = fixture.session("orders").await;
    for _ in 0..2 {
        let response = execute(&mut session, read("x")).await;
        assert!(response.result.is_ok(), "{response:?}");
        seam::sleep(Duration::from_millis(1_600)).await;
    }
    trimming.abort();
    let opened: usize = ["s1", "s2", "s3"]
        .map(|name| fixture.group.with_server(name, |server| server.connections_opened))
        .into_iter()
        .sum();
    assert_eq!(opened, 1);
}

/// A server whose queue was full stayed overloaded: statements took longer, so each node had more of them at once and
/// opened more connections for them, and each new one took twice a statement's time of the server. In a fleet of 300
/// the busiest server rejected 114,000 of 253,000 arrivals, where nine tenths of its load would have fitted.
#[tokio::test]
async fn a_congested_server_is_asked_for_no_second_connection() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    let server = fixture.direct.proxy.registry.server("s1").unwrap();
    let began = now();
    assert_eq!(server.direct_pool.congested_until(), 0);
    // The first attempt is rejected, and the second one takes the same connection.
    fixture.inject("s1", Fault::Reject(RejectReason::Busy));
    let response = execute(&mut session, read("x")).await;
    assert!(response.result.is_ok(), "{response:?}");
    assert!(server.direct_pool.congested_until() > began);
    assert_eq!(fixture.group.with_server("s1", |server| server.connections_opened), 1);
}
