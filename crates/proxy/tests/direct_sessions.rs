//! Held sessions before servers whose answers get lost, whose links break, and whose lead changes (§4.10).
mod fake;
use assert_matches::assert_matches;
use bytes::Bytes;
use fake::{Fault, Kit, ask, read, write};
use quincehatch_core::{ErrorCode, Outcome, Position};
use quincehatch_proxy::direct::DirectSession;
use quincehatch_proxy::direct::{SessionCommand, StatementError, StatementResponse};
use quincehatch_proxy::ports::{RejectReason, TransactionState};
use quincehatch_runtime::now;

fn ours(t: &StatementResponse) -> (u16, Outcome) {
    match &t.result {
        Err(StatementError::Proxy(b)) => (b.code, b.outcome),
        other => panic!("not a breakdown of ours: {other:?}"),
    }
}
fn good(t: &StatementResponse) {
    assert_matches!(t.result, Ok(Some(_)), "no success with a stamp");
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_in_doubt_and_never_sent_again() {
    for f in [Fault::Lose, Fault::Silent, Fault::Cut] {
        let k = Kit::new();
        let mut s = k.session("orders").await;
        k.fault("s1", f);
        let t = ask(&mut s, write("a")).await;
        assert_eq!(ours(&t), (ErrorCode::Unknown.number(), Outcome::Unknown), "{f:?}");
        assert!(k.ran("s1").len() <= 1 && k.kept().len() <= 1, "{f:?}: {:?}", k.ran("s1"));
        good(&ask(&mut s, write("b")).await);
    }
}

#[tokio::test]
async fn what_a_server_declined_to_run_is_sent_again_and_runs_once() {
    let k = Kit::new();
    let mut s = k.session("orders").await;
    for no in [
        RejectReason::Busy,
        RejectReason::TooManyConnections,
        RejectReason::NotPrimary,
        RejectReason::WrongServer,
    ] {
        k.fault("s1", Fault::Decline(no));
    }
    good(&ask(&mut s, write("a")).await);
    assert_eq!(k.kept(), ["WRITE a"]);
}

/// What cannot be begun in the rule's aim is declined then, not held to its deadline, and says when to come back.
#[tokio::test]
async fn a_busy_server_is_given_up_on_with_a_promise() {
    let k = Kit::new();
    let mut s = k.session("orders").await;
    (0..500).for_each(|_| k.fault("s1", Fault::Decline(RejectReason::Busy)));
    let began = now();
    let t = ask(&mut s, write("a")).await;
    assert_eq!(ours(&t).1, Outcome::NotApplied);
    assert_matches!(&t.result, Err(StatementError::Proxy(b)) if b.retry_after_ms.is_some());
    assert!(now() - began < 400 && k.kept().is_empty());
}

#[tokio::test]
async fn prepared_names_of_two_origins_do_not_meet() {
    let k = Kit::new();
    let (mut a, mut b) = (k.session("orders").await, k.session("orders").await);
    let prep = |shape: &str| SessionCommand::Prepare {
        name: Bytes::from_static(b"s1"),
        write: false,
        template: Bytes::copy_from_slice(shape.as_bytes()),
    };
    ask(&mut a, prep("qa")).await;
    ask(&mut b, prep("qb")).await;
    let run =
        || SessionCommand::Execute { name: Bytes::from_static(b"s1"), arguments: Bytes::from_static(b"1") };
    good(&ask(&mut a, run()).await);
    good(&ask(&mut b, run()).await);
    assert_eq!(k.ran("s1"), ["qa 1 []", "qb 1 []"]);
    ask(&mut b, SessionCommand::Deallocate { name: Bytes::from_static(b"s1") }).await;
    assert_matches!(
        ask(&mut b, run()).await.result,
        Err(StatementError::Server(RejectReason::Unprepared, _))
    );
}

#[tokio::test]
async fn settings_go_with_their_session_and_with_no_other() {
    let k = Kit::new();
    let (mut a, mut b) = (k.session("orders").await, k.session("orders").await);
    let set = |v: &'static str| SessionCommand::Set {
        name: Bytes::from_static(b"x"),
        value: Bytes::from_static(v.as_bytes()),
    };
    ask(&mut a, set("1")).await;
    good(&ask(&mut a, read("a")).await);
    good(&ask(&mut b, read("b")).await);
    good(&ask(&mut a, read("c")).await);
    ask(&mut a, SessionCommand::Begin { read: false }).await;
    good(&ask(&mut a, read("d")).await);
    ask(&mut a, set("2")).await;
    good(&ask(&mut a, read("e")).await);
    assert_eq!(k.ran("s1"), ["READ a [x=1]", "READ b []", "READ c [x=1]", "READ d [x=1]", "READ e [x=2]"]);
}

#[tokio::test]
async fn a_transaction_that_lost_its_link_before_its_commit_kept_nothing() {
    let k = Kit::new();
    let mut s = k.session("orders").await;
    assert_eq!(
        ask(&mut s, SessionCommand::Begin { read: false }).await.transaction_state,
        TransactionState::Open
    );
    good(&ask(&mut s, write("a")).await);
    k.fault("s1", Fault::Lose);
    let t = ask(&mut s, write("b")).await;
    assert_eq!(
        (ours(&t), t.transaction_state),
        ((ErrorCode::TransactionLost.number(), Outcome::NotApplied), TransactionState::Failed)
    );
    assert_eq!(ours(&ask(&mut s, read("c")).await).0, ErrorCode::Malformed.number());
    assert_eq!(ask(&mut s, SessionCommand::Rollback).await.transaction_state, TransactionState::Idle);
    assert!(k.kept().is_empty());
    good(&ask(&mut s, write("d")).await);
}

#[tokio::test]
async fn a_commit_whose_answer_is_lost_is_in_doubt_and_one_in_a_broken_transaction_is_none() {
    let k = Kit::new();
    let mut s = k.session("orders").await;
    ask(&mut s, SessionCommand::Begin { read: false }).await;
    good(&ask(&mut s, write("a")).await);
    k.fault("s1", Fault::Lose);
    let t = ask(&mut s, SessionCommand::Commit).await;
    assert_eq!((ours(&t).1, t.transaction_state), (Outcome::Unknown, TransactionState::Idle));
    ask(&mut s, SessionCommand::Begin { read: false }).await;
    good(&ask(&mut s, write("b")).await);
    s.abort_transaction();
    assert_eq!(
        ours(&ask(&mut s, SessionCommand::Commit).await),
        (ErrorCode::TransactionLost.number(), Outcome::NotApplied)
    );
    assert_eq!(k.kept(), ["WRITE a"]);
}

#[tokio::test]
async fn lookups_ask_for_a_floor_at_replicas_and_else_go_to_the_lead() {
    let k = Kit::new();
    let mut s = k.session("looks").await;
    good(&ask(&mut s, read("a")).await);
    assert_eq!(k.ran("s1"), ["READ a []"], "no position is known yet: only the lead is fresh for certain");
    good(&ask(&mut s, read("b")).await);
    let on = if k.ran("s2").is_empty() { ("s3", "s2") } else { ("s2", "s3") };
    assert_eq!(k.ran(on.0), ["@1.0 READ b []"]);
    k.fault(on.0, Fault::Decline(RejectReason::Behind));
    k.fault(on.1, Fault::Decline(RejectReason::Behind));
    good(&ask(&mut s, read("c")).await);
    assert_eq!(k.ran("s1").last().unwrap(), "READ c []", "both replicas were behind");
}

#[tokio::test]
async fn a_replica_whose_link_broke_is_set_aside_and_the_lookup_goes_elsewhere() {
    let k = Kit::new();
    let mut s = k.session("looks").await;
    k.held.proxy.registry.record_primary_position("g1", now(), Position { fence: 1, number: 0 });
    k.fault("s2", Fault::Cut);
    k.fault("s3", Fault::Cut);
    good(&ask(&mut s, read("a")).await);
    assert_eq!(k.ran("s1"), ["READ a []"]);
    good(&ask(&mut s, read("b")).await);
    assert_eq!(k.ran("s1").len(), 2, "both replicas are set aside");
}

/// Orders are held while hands change, and run only at whoever is named then (§5.5).
#[tokio::test]
async fn an_order_in_a_change_of_hands_waits_and_runs_at_the_new_lead() {
    let mut k = Kit::new();
    k.named(None);
    let mut s = k.session("orders").await;
    let order = tokio::spawn(async move { ask(&mut s, write("a")).await });
    tokio::task::yield_now().await;
    k.named(Some("s2"));
    good(&order.await.unwrap());
    assert!(k.ran("s1").is_empty());
    assert_eq!(k.ran("s2"), ["WRITE a []"]);
}

#[tokio::test]
async fn without_a_lease_nothing_goes_to_the_lead() {
    let k = Kit::new();
    let mut s = k.session("orders").await;
    k.held.proxy.registry.set_lease_for_test(0);
    let t = ask(&mut s, write("a")).await;
    assert_eq!(ours(&t), (ErrorCode::NoLease.number(), Outcome::NotApplied));
    assert!(k.ran("s1").is_empty());
}

/// It does not know the rules in force, so it may not say that there is none (found on a day when all lost power).
#[tokio::test]
async fn a_node_without_a_lease_does_not_say_that_there_is_no_rule() {
    let k = Kit::new();
    k.held.proxy.registry.set_lease_for_test(0);
    for db in ["orders", "nowhere"] {
        let no = DirectSession::open(&k.held, db).await.err().unwrap();
        assert!(no.has_code(ErrorCode::NotReady) && no.retry_after_ms.is_some(), "{no}");
    }
    k.held.proxy.registry.renew_lease(now() + 10_000);
    assert!(DirectSession::open(&k.held, "orders").await.is_ok());
    assert!(DirectSession::open(&k.held, "nowhere").await.is_err_and(|b| b.has_code(ErrorCode::NoRoute)));
}

/// The answer got lost without a word: a read is asked again elsewhere, a transaction is given up while there is time.
#[tokio::test]
async fn silence_costs_a_read_no_more_than_half_its_aim() {
    let k = Kit::new();
    let mut s = k.session("looks").await;
    k.held.proxy.registry.record_primary_position("g1", now(), Position { fence: 1, number: 0 });
    k.fault("s2", Fault::Silent);
    good(&ask(&mut s, read("a")).await);
    assert_eq!((k.ran("s2").len(), k.ran("s3").len()), (1, 1));
    let mut o = k.session("orders").await;
    k.fault("s1", Fault::Silent);
    let began = now();
    good(&ask(&mut o, read("b")).await);
    assert!(now() - began < 300);
    ask(&mut o, SessionCommand::Begin { read: false }).await;
    good(&ask(&mut o, write("c")).await);
    k.fault("s1", Fault::Silent);
    assert_eq!(
        ours(&ask(&mut o, write("d")).await),
        (ErrorCode::TransactionLost.number(), Outcome::NotApplied)
    );
    assert!(k.kept().is_empty());
}

/// Whoever led is replaced while a write waits for its answer: it is in doubt at once, not at its timeout.
#[tokio::test]
async fn a_write_at_a_lead_that_was_replaced_is_in_doubt_at_once() {
    let mut k = Kit::new();
    let mut s = k.session("orders").await;
    k.fault("s1", Fault::Silent);
    let began = now();
    let order = tokio::spawn(async move { ask(&mut s, write("a")).await });
    while k.ran("s1").is_empty() {
        tokio::task::yield_now().await;
    }
    k.named(None);
    k.named(Some("s2"));
    assert_eq!(ours(&order.await.unwrap()), (ErrorCode::Unknown.number(), Outcome::Unknown));
    assert!(now() - began < 400, "the rule's timeout was waited for");
    assert!(k.ran("s2").is_empty());
}
