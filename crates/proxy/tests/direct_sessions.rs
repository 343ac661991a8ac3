//! Statements outside a transaction, before servers whose replies get lost, whose connections break, and whose primary
//! changes.
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
async fn a_write_is_in_doubt_and_never_sent_again_when_its_reply_is_lost() {
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
async fn a_write_is_sent_again_and_runs_once_when_servers_rejected_to_run_it() {
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

/// It is not queued up to its timeout, and the client is told when to come back.
#[tokio::test]
async fn a_write_is_rejected_when_it_cannot_be_started_within_the_latency_target() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    (0..500).for_each(|_| fixture.inject("s1", Fault::Reject(RejectReason::Busy)));
    let began = now();
    let response = execute(&mut session, write("a")).await;
    assert_eq!(proxy_error(&response).1, Outcome::NotApplied);
    assert_matches!(&response.result, Err(StatementError::Proxy(error)) if error.retry_after_ms.is_some());
    assert!(now() - began < 400 && fixture.committed().is_empty());
}

#[tokio::test]
async fn reads_demand_a_position_of_replicas_and_go_to_the_primary_when_none_has_it() {
    let fixture = Fixture::new();
    let mut session = fixture.session("looks").await;
    assert_stamped(&execute(&mut session, read("a")).await);
    let on_primary = fixture.ran("s1");
    assert_eq!(on_primary, ["READ a []"], "no position is known yet: only the primary is fresh for certain");
    assert_stamped(&execute(&mut session, read("b")).await);
    let (used, other) = if fixture.ran("s2").is_empty() { ("s3", "s2") } else { ("s2", "s3") };
    assert_eq!(fixture.ran(used), ["@1.0 READ b []"]);
    fixture.inject(used, Fault::Reject(RejectReason::Behind));
    fixture.inject(other, Fault::Reject(RejectReason::Behind));
    assert_stamped(&execute(&mut session, read("c")).await);
    assert_eq!(fixture.ran("s1").last().unwrap(), "READ c []", "both replicas were behind");
}

#[tokio::test]
async fn a_replica_is_ejected_and_the_read_goes_elsewhere_when_its_connection_broke() {
    let fixture = Fixture::new();
    let mut session = fixture.session("looks").await;
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
    let writing = tokio::spawn(async move { execute(&mut session, write("a")).await });
    tokio::task::yield_now().await;
    fixture.assign_primary(Some("s2"));
    assert_stamped(&writing.await.unwrap());
    assert!(fixture.ran("s1").is_empty());
    assert_eq!(fixture.ran("s2"), ["WRITE a []"]);
}

/// At once, not at its timeout.
#[tokio::test]
async fn a_write_is_in_doubt_at_once_when_its_primary_is_replaced() {
    let mut fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    fixture.inject("s1", Fault::NoReply);
    let began = now();
    let writing = tokio::spawn(async move { execute(&mut session, write("a")).await });
    while fixture.ran("s1").is_empty() {
        tokio::task::yield_now().await;
    }
    fixture.assign_primary(None);
    fixture.assign_primary(Some("s2"));
    let response = writing.await.unwrap();
    assert_eq!(proxy_error(&response), error(ErrorCode::Unknown, Outcome::Unknown));
    assert!(now() - began < 400, "the route's timeout was waited for");
    assert!(fixture.ran("s2").is_empty());
}

#[tokio::test]
async fn nothing_goes_to_the_primary_when_the_proxy_holds_no_lease() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    fixture.direct.proxy.registry.set_lease_for_test(0);
    let response = execute(&mut session, write("a")).await;
    assert_eq!(proxy_error(&response), error(ErrorCode::NoLease, Outcome::NotApplied));
    assert!(fixture.ran("s1").is_empty());
}

/// It does not know the routes in force. Seen once after all machines had lost power.
#[tokio::test]
async fn a_proxy_does_not_say_that_there_is_no_route_when_it_holds_no_lease() {
    let fixture = Fixture::new();
    fixture.direct.proxy.registry.set_lease_for_test(0);
    for db in ["orders", "nowhere"] {
        let refused = DirectSession::open(&fixture.direct, db, ClientKey::NONE).await.err().unwrap();
        assert!(refused.has_code(ErrorCode::NotReady) && refused.retry_after_ms.is_some(), "{refused}");
    }
    fixture.direct.proxy.registry.renew_lease(now() + 10_000);
    assert!(DirectSession::open(&fixture.direct, "orders", ClientKey::NONE).await.is_ok());
    let refused = DirectSession::open(&fixture.direct, "nowhere", ClientKey::NONE).await;
    assert!(refused.is_err_and(|error| error.has_code(ErrorCode::NoRoute)));
}

/// The read is sent a second time; the transaction is given up while there is time to begin anew.
#[tokio::test]
async fn a_read_takes_little_more_than_half_its_latency_target_when_a_reply_is_lost() {
    let fixture = Fixture::new();
    let mut session = fixture.session("looks").await;
    let position = Position { fence: 1, number: 0 };
    fixture.direct.proxy.registry.record_primary_position("g1", now(), position);
    fixture.inject("s2", Fault::NoReply);
    assert_stamped(&execute(&mut session, read("a")).await);
    assert_eq!((fixture.ran("s2").len(), fixture.ran("s3").len()), (1, 1));
    let mut on_primary = fixture.session("orders").await;
    fixture.inject("s1", Fault::NoReply);
    let began = now();
    assert_stamped(&execute(&mut on_primary, read("b")).await);
    assert!(now() - began < 300);
    execute(&mut on_primary, SessionCommand::Begin { read: false }).await;
    assert_stamped(&execute(&mut on_primary, write("c")).await);
    fixture.inject("s1", Fault::NoReply);
    let response = execute(&mut on_primary, write("d")).await;
    assert_eq!(proxy_error(&response), error(ErrorCode::TransactionLost, Outcome::NotApplied));
    assert!(fixture.committed().is_empty());
}
