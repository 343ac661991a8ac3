//! Tests of statements outside a transaction when replies are lost, connections break and the primary changes.
#[allow(dead_code, reason = "each test file uses a part of the fake servers")]
mod fake_servers;

use assert_matches::assert_matches;
use fake_servers::{Fault, Fixture, assert_stamped, error, execute, proxy_error, read, write};
use quincehatch_core::{ErrorCode, Outcome, Position};
use quincehatch_proxy::direct::{DirectSession, SessionCommand, StatementError};
use quincehatch_proxy::ports::RejectReason;
use quincehatch_proxy::tenants::ClientKey;
use quincehatch_runtime::now;

#[tokio::test]
async fn a_write_has_an_unknown_outcome_and_is_not_retried_when_its_reply_is_lost() {
    for fault in [Fault::DisconnectAfter, Fault::NoReply, Fault::DisconnectBefore] {
        let fixture = Fixture::new();
        let mut session = fixture.session("orders").await;
        fixture.inject("s1", fault);
        let response = execute(&mut session, write("a")).await;
        assert_eq!(proxy_error(&response), error(ErrorCode::Unknown, Outcome::Unknown), "{fault:?}");
        let ran = fixture.ran("s1");
        assert!(ran.len() <= 1 && fixture.committed().len() <= 1, "{fault:?}: {ran:?}");
        assert_stamped(&execute(&mut session, write("b")).await);
    }
}

#[tokio::test]
async fn a_write_is_retried_and_runs_once_when_the_server_rejected_it_without_running_it() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    for reason in [
        RejectReason::Busy,
        RejectReason::TooManyConnections,
        RejectReason::NotPrimary,
        RejectReason::WrongServer,
    ] {
        fixture.inject("s1", Fault::Reject(reason));
    }
    assert_stamped(&execute(&mut session, write("a")).await);
    assert_eq!(fixture.committed(), ["WRITE a"]);
}

/// The rejection comes before the route's timeout, and says when the client may retry.
#[tokio::test]
async fn a_write_is_rejected_when_it_cannot_be_started_within_the_latency_target() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    (0..500).for_each(|_| fixture.inject("s1", Fault::Reject(RejectReason::Busy)));
    let started = now();
    let response = execute(&mut session, write("a")).await;
    assert_eq!(proxy_error(&response).1, Outcome::NotApplied);
    assert_matches!(&response.result, Err(StatementError::Proxy(error)) if error.retry_after_ms.is_some());
    assert!(now() - started < 400 && fixture.committed().is_empty());
}

#[tokio::test]
async fn reads_require_a_position_of_replicas_and_go_to_the_primary_when_no_replica_has_it() {
    let fixture = Fixture::new();
    let mut session = fixture.session("lookups").await;
    assert_stamped(&execute(&mut session, read("a")).await);
    let on_primary = fixture.ran("s1");
    assert_eq!(on_primary, ["READ a []"], "no position is known yet, so only the primary is certainly fresh");
    assert_stamped(&execute(&mut session, read("b")).await);
    let (used, other) = if fixture.ran("s2").is_empty() { ("s3", "s2") } else { ("s2", "s3") };
    assert_eq!(fixture.ran(used), ["@1.0 READ b []"]);
    fixture.inject(used, Fault::Reject(RejectReason::Behind));
    fixture.inject(other, Fault::Reject(RejectReason::Behind));
    assert_stamped(&execute(&mut session, read("c")).await);
    assert_eq!(fixture.ran("s1").last().unwrap(), "READ c []", "both replicas were behind");
}

#[tokio::test]
async fn a_replica_is_ejected_and_the_read_goes_to_another_server_when_its_connection_breaks() {
    let fixture = Fixture::new();
    let mut session = fixture.session("lookups").await;
    let position = Position { fence: 1, number: 0 };
    fixture.direct.proxy.registry.record_primary_position("g1", now(), position);
    fixture.inject("s2", Fault::DisconnectBefore);
    fixture.inject("s3", Fault::DisconnectBefore);
    assert_stamped(&execute(&mut session, read("a")).await);
    assert_eq!(fixture.ran("s1"), ["READ a []"]);
    assert_stamped(&execute(&mut session, read("b")).await);
    assert_eq!(fixture.ran("s1").len(), 2, "both replicas are ejected");
}

#[tokio::test]
async fn a_write_is_queued_and_runs_on_the_new_primary_when_the_primary_changes() {
    let mut fixture = Fixture::new();
    fixture.assign_primary(None);
    let mut session = fixture.session("orders").await;
    let write_task = tokio::spawn(async move { execute(&mut session, write("a")).await });
    tokio::task::yield_now().await;
    fixture.assign_primary(Some("s2"));
    assert_stamped(&write_task.await.unwrap());
    assert!(fixture.ran("s1").is_empty());
    assert_eq!(fixture.ran("s2"), ["WRITE a []"]);
}

/// The client gets the error before the route's timeout.
#[tokio::test]
async fn a_write_has_an_unknown_outcome_at_once_when_its_primary_is_replaced() {
    let mut fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    fixture.inject("s1", Fault::NoReply);
    let started = now();
    let write_task = tokio::spawn(async move { execute(&mut session, write("a")).await });
    while fixture.ran("s1").is_empty() {
        tokio::task::yield_now().await;
    }
    fixture.assign_primary(None);
    fixture.assign_primary(Some("s2"));
    let response = write_task.await.unwrap();
    assert_eq!(proxy_error(&response), error(ErrorCode::Unknown, Outcome::Unknown));
    assert!(now() - started < 400, "the write failed only at the route's timeout");
    assert!(fixture.ran("s2").is_empty());
}

#[tokio::test]
async fn no_write_is_sent_to_the_primary_when_the_proxy_holds_no_lease() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    fixture.direct.proxy.registry.set_lease_for_test(0);
    let response = execute(&mut session, write("a")).await;
    assert_eq!(proxy_error(&response), error(ErrorCode::NoLease, Outcome::NotApplied));
    assert!(fixture.ran("s1").is_empty());
}

/// Without a lease the proxy does not know the routes in force, for instance after all machines lost power, and must
/// not report that a route does not exist.
#[tokio::test]
async fn a_session_gets_not_ready_and_not_no_route_when_the_proxy_holds_no_lease() {
    let fixture = Fixture::new();
    fixture.direct.proxy.registry.set_lease_for_test(0);
    for db in ["orders", "nowhere"] {
        let rejected = DirectSession::open(&fixture.direct, db, ClientKey::NONE).await.err().unwrap();
        assert!(rejected.has_code(ErrorCode::NotReady) && rejected.retry_after_ms.is_some(), "{rejected}");
    }
    fixture.direct.proxy.registry.renew_lease(now() + 10_000);
    assert!(DirectSession::open(&fixture.direct, "orders", ClientKey::NONE).await.is_ok());
    let rejected = DirectSession::open(&fixture.direct, "nowhere", ClientKey::NONE).await;
    assert!(rejected.is_err_and(|error| error.has_code(ErrorCode::NoRoute)));
}

/// The read is hedged. A transaction whose statement gets no reply is aborted while the client has time to retry it.
#[tokio::test]
async fn a_read_is_hedged_and_a_transaction_is_aborted_in_time_when_a_reply_is_lost() {
    let fixture = Fixture::new();
    let mut session = fixture.session("lookups").await;
    let position = Position { fence: 1, number: 0 };
    fixture.direct.proxy.registry.record_primary_position("g1", now(), position);
    fixture.inject("s2", Fault::NoReply);
    assert_stamped(&execute(&mut session, read("a")).await);
    assert_eq!((fixture.ran("s2").len(), fixture.ran("s3").len()), (1, 1));
    let mut on_primary = fixture.session("orders").await;
    fixture.inject("s1", Fault::NoReply);
    let started = now();
    assert_stamped(&execute(&mut on_primary, read("b")).await);
    assert!(now() - started < 300);
    execute(&mut on_primary, SessionCommand::Begin { read_only: false }).await;
    assert_stamped(&execute(&mut on_primary, write("c")).await);
    fixture.inject("s1", Fault::NoReply);
    let response = execute(&mut on_primary, write("d")).await;
    assert_eq!(proxy_error(&response), error(ErrorCode::TransactionLost, Outcome::NotApplied));
    assert!(fixture.committed().is_empty());
}
