//! The memory that clients' prepared statements and settings take at the proxy.
#[allow(dead_code, reason = "each test file uses a part of the fake servers")]
mod fake_servers;

use bytes::Bytes;
use fake_servers::{Fixture, execute};
use quincehatch_core::ErrorCode;
use quincehatch_proxy::direct::session_memory::{PREPARED_TEXT_BUDGET, PreparedTexts, SettingsBudget};
use quincehatch_proxy::direct::{SessionCommand, StatementError, StatementResponse};
use std::sync::Arc;

/// Returns a text of this length, or longer if the number is.
fn text(number: usize, bytes: usize) -> Bytes {
    let mut text = number.to_string().into_bytes();
    text.resize(bytes.max(text.len()), b'x');
    text.into()
}

/// Guards against texts that are kept after their sessions have ended: a node was killed for its memory after some thousand
/// sessions with a text of their own each.
#[test]
fn the_texts_of_ended_sessions_stay_within_the_budget() {
    let texts = PreparedTexts::default();
    for number in 0..20_000 {
        texts.prepare(false, &text(number, 16_000)).unwrap();
        assert!(texts.bytes() <= PREPARED_TEXT_BUDGET);
    }
    for number in 0..400_000 {
        texts.prepare(number % 2 == 0, &text(number, 8)).unwrap();
    }
    assert!(texts.bytes() <= PREPARED_TEXT_BUDGET);
}

#[test]
fn equal_texts_share_a_name_also_after_their_sessions_have_ended() {
    let texts = PreparedTexts::default();
    let name = |number| texts.prepare(false, &text(number, 100)).unwrap().name.clone();
    let first = name(1);
    (2..1_000).for_each(|number| assert_ne!(name(number), first));
    assert_eq!(name(1), first);
    assert_ne!(texts.prepare(true, &text(1, 100)).unwrap().name, first, "a write is another statement");
}

/// A name that meant another text would run the wrong statement on a connection on which that text is prepared.
#[test]
fn a_text_that_was_dropped_gets_a_name_that_no_text_had() {
    let texts = PreparedTexts::default();
    let names: Vec<_> =
        (0..200).map(|number| texts.prepare(false, &text(number, 1 << 20)).unwrap().name.clone()).collect();
    let again = texts.prepare(false, &text(0, 1 << 20)).unwrap().name.clone();
    assert!(!names.contains(&again));
}

#[test]
fn texts_that_sessions_hold_are_kept_and_further_ones_are_rejected_beyond_the_budget() {
    let texts = PreparedTexts::default();
    let mut held = Vec::new();
    let rejected = loop {
        match texts.prepare(false, &text(held.len(), 1 << 20)) {
            Ok(statement) => held.push(statement),
            Err(error) => break error,
        }
    };
    assert!(rejected.has_code(ErrorCode::TooLarge));
    assert!(held.len() >= 30 && texts.bytes() <= PREPARED_TEXT_BUDGET, "{}", held.len());
    for (number, statement) in held.iter().enumerate() {
        assert!(Arc::ptr_eq(&texts.prepare(false, &text(number, 1 << 20)).unwrap(), statement));
    }
    drop(held);
    assert!(texts.prepare(false, &text(999, 1 << 20)).is_ok());
}

fn is_too_large(response: &StatementResponse) -> bool {
    matches!(&response.result, Err(StatementError::Proxy(error)) if error.has_code(ErrorCode::TooLarge))
}

/// Guards against settings without a limit in bytes: 256 of 1 MiB each were taken from every session.
#[tokio::test]
async fn settings_take_a_budget_that_sessions_give_back_when_they_end() {
    let fixture = Fixture::new();
    let mut sessions = Vec::new();
    let mut rejected = 0;
    for number in 0..40 {
        let mut session = fixture.session("orders").await;
        let set = SessionCommand::Set { name: "v".into(), value: text(number, (1 << 20) - 1) };
        rejected += usize::from(is_too_large(&execute(&mut session, set).await));
        sessions.push(session);
    }
    assert!((20..40).contains(&rejected), "{rejected} rejected");
    assert!(fixture.direct.settings_budget.bytes() > 8 << 20);
    let set = SessionCommand::Set { name: "v".into(), value: "short".into() };
    assert!(execute(&mut sessions[0], set).await.result.is_ok());
    drop(sessions);
    assert_eq!(fixture.direct.settings_budget.bytes(), 0);
}

/// What a session has set stays on the connections that it used, so one session may not set any amount.
#[tokio::test]
async fn a_session_may_not_set_more_than_a_mebibyte() {
    let fixture = Fixture::new();
    let mut session = fixture.session("orders").await;
    for (name, bytes, is_rejected) in
        [("a", 600_000, false), ("b", 600_000, true), ("a", 300_000, false), ("b", 600_000, false)]
    {
        let set = SessionCommand::Set { name: name.into(), value: text(1, bytes) };
        assert_eq!(is_too_large(&execute(&mut session, set).await), is_rejected, "{name} {bytes}");
    }
}

#[test]
fn a_setting_that_replaces_another_one_gives_its_memory_back() {
    let budget = SettingsBudget::default();
    let first = budget.reserve(1_000).unwrap();
    let bytes = budget.bytes();
    drop(first);
    assert!(bytes >= 1_000 && budget.bytes() == 0);
}
