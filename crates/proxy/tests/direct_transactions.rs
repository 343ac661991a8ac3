//! Tests of transactions, settings and prepared statements of a session.
#[allow(dead_code, reason = "each test file uses a part of the fake servers")]
mod fake_servers;

use assert_matches::assert_matches;
use bytes::Bytes;
use fake_servers::{Fault, Fixture, assert_stamped, error, execute, proxy_error, read, write};
use quincehatch_core::{ErrorCode, Outcome};
use quincehatch_proxy::direct::{SessionCommand, StatementError};
use quincehatch_proxy::ports::{RejectReason, TransactionState};

const BEGIN: SessionCommand = SessionCommand::Begin { read_only: false };

#[tokio::test]
async fn prepared_statements_are_independent_when_two_clients_use_the_same_name() {
    let fixture = Fixture::new();
    let (mut first, mut second) = (fixture.session("orders").await, fixture.session("orders").await);
    let name = || Bytes::from_static(b"s1");
    let prepare = |template: &'static str| SessionCommand::Prepare {
        name: name(),
        write: false,
        template: Bytes::from_static(template.as_bytes()),
    };
    execute(&mut first, prepare("qa")).await;
    execute(&mut second, prepare("qb")).await;
    let run = || SessionCommand::Execute { name: name(), arguments: Bytes::from_static(b"1") };
    assert_stamped(&execute(&mut first, run()).await);
    assert_stamped(&execute(&mut second, run()).await);
    assert_eq!(fixture.ran("s1"), ["qa 1 []", "qb 1 []"]);
    execute(&mut second, SessionCommand::Deallocate { name: name() }).await;
    let response = execute(&mut second, run()).await;
    assert_matches!(response.result, Err(StatementError::Server(RejectReason::Unprepared, _)));
}

#[tokio::test]
async fn settings_apply_only_to_their_session_when_sessions_share_a_connection() {
    let fixture = Fixture::new();
    let (mut first, mut second) = (fixture.session("orders").await, fixture.session("orders").await);
    let set = |value: &'static str| SessionCommand::Set {
        name: Bytes::from_static(b"x"),
        value: Bytes::from_static(value.as_bytes()),
    };
    execute(&mut first, set("1")).await;
    assert_stamped(&execute(&mut first, read("a")).await);
    assert_stamped(&execute(&mut second, read("b")).await);
    assert_stamped(&execute(&mut first, read("c")).await);
    execute(&mut first, BEGIN).await;
    assert_stamped(&execute(&mut first, read("d")).await);
    execute(&mut first, set("2")).await;
    assert_stamped(&execute(&mut first, read("e")).await);
    let ran = fixture.ran("s1");
    assert_eq!(ran, ["READ a [x=1]", "READ b []", "READ c [x=1]", "READ d [x=1]", "READ e [x=2]"]);
}

#[tokio::test]
async fn a_transaction_commits_nothing_when_its_connection_breaks_before_the_commit() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    assert_eq!(execute(&mut session, BEGIN).await.transaction_state, TransactionState::Open);
    assert_stamped(&execute(&mut session, write("a")).await);
    fixture.inject("s1", Fault::DisconnectAfter);
    let response = execute(&mut session, write("b")).await;
    assert_eq!(proxy_error(&response), error(ErrorCode::TransactionLost, Outcome::NotApplied));
    assert_eq!(response.transaction_state, TransactionState::Failed);
    let response = execute(&mut session, read("c")).await;
    assert_eq!(proxy_error(&response).0, ErrorCode::Malformed.number());
    let response = execute(&mut session, SessionCommand::Rollback).await;
    assert_eq!(response.transaction_state, TransactionState::Idle);
    assert!(fixture.committed().is_empty());
    assert_stamped(&execute(&mut session, write("d")).await);
}

#[tokio::test]
async fn a_commit_has_an_unknown_outcome_when_its_reply_is_lost_and_is_not_applied_when_its_transaction_failed()
 {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    execute(&mut session, BEGIN).await;
    assert_stamped(&execute(&mut session, write("a")).await);
    fixture.inject("s1", Fault::DisconnectAfter);
    let response = execute(&mut session, SessionCommand::Commit).await;
    assert_eq!(proxy_error(&response).1, Outcome::Unknown);
    assert_eq!(response.transaction_state, TransactionState::Idle);
    execute(&mut session, BEGIN).await;
    assert_stamped(&execute(&mut session, write("b")).await);
    session.abort_transaction();
    let response = execute(&mut session, SessionCommand::Commit).await;
    assert_eq!(proxy_error(&response), error(ErrorCode::TransactionLost, Outcome::NotApplied));
    assert_eq!(fixture.committed(), ["WRITE a"]);
}
