//! How stalls and long queries are told apart.
use super::*;
use std::ops::RangeInclusive;

fn pending_reply(timeout: Millis, query_timeout: Millis, long_running: bool) -> PendingReply {
    PendingReply { timeout, query_timeout, long_running, first_attempt: true }
}

fn send(replies: &mut OverdueReplies, now: Millis, ids: RangeInclusive<u64>) {
    for id in ids {
        replies.record_sent(now, id, pending_reply(1_000, 30_000, false));
    }
}

#[test]
fn a_slow_reply_is_a_long_query_when_others_are_answered() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=1);
    send(&mut replies, 500, 2..=2);
    replies.record_answer(600, 2);
    assert_eq!(replies.tick(999), vec![]);
    assert_eq!(replies.tick(1_000), vec![], "as many were in time: it is a long query");
    assert_eq!(replies.tick(1_599), vec![]);
    assert_eq!(replies.tick(30_000), vec![OverdueFinding::Overdue]);
}

#[test]
fn a_server_is_slow_when_it_is_late_more_often_than_not() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=4);
    replies.record_answer(990, 4);
    assert_eq!(replies.tick(1_000), vec![OverdueFinding::Late]);
}

#[test]
fn silence_is_a_stall_only_when_there_are_enough_witnesses() {
    for witnesses in [STALL_WITNESSES - 1, STALL_WITNESSES] {
        let mut replies = OverdueReplies::default();
        replies.record_answer(5, 99);
        send(&mut replies, 10, 1..=1);
        assert!(!replies.wants_canary(200) && replies.wants_canary(300));
        send(&mut replies, 300, 2..=witnesses as u64);
        assert!(!replies.wants_canary(310), "one at a time");
        assert_eq!(replies.tick(1_009), vec![]);
        let findings = replies.tick(1_010);
        assert_eq!(findings.contains(&OverdueFinding::Stall), witnesses == STALL_WITNESSES);
    }
}

#[test]
fn a_late_reply_is_a_long_query_when_a_canary_is_answered() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=STALL_WITNESSES as u64);
    send(&mut replies, 700, 9..=9);
    replies.record_answer(702, 9);
    assert!(!replies.tick(1_000).contains(&OverdueFinding::Stall));
    assert!(!replies.wants_canary(800));
}

#[test]
fn requests_are_no_witnesses_and_no_sign_of_slowness_when_they_are_retries() {
    let mut replies = OverdueReplies::default();
    for id in 1..=20 {
        let retry = PendingReply { first_attempt: false, ..pending_reply(1_000, 30_000, false) };
        replies.record_sent(0, id, retry);
    }
    assert_eq!(replies.tick(1_500), vec![]);
    replies.record_answer(1_600, 1);
    assert_eq!(replies.tick(1_700), vec![]);
}

#[test]
fn a_stall_is_found_when_it_began_after_other_answers() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=3);
    send(&mut replies, 600, 4..=4);
    replies.record_answer(601, 4);
    send(&mut replies, 610, 5..=12);
    assert_eq!(replies.tick(1_000), vec![OverdueFinding::Late]);
    assert_eq!(replies.tick(1_100), vec![]);
    assert_eq!(replies.tick(1_101), vec![OverdueFinding::Stall; 3]);
    assert_eq!(replies.tick(1_200), vec![]);
}

#[test]
fn a_lone_reply_is_a_stall_when_it_is_silent_for_twice_its_time() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=1);
    assert_eq!(replies.tick(1_999), vec![]);
    assert_eq!(replies.tick(2_000), vec![OverdueFinding::Stall]);
}

#[test]
fn a_long_running_reply_is_overdue_only_when_its_query_timeout_is_over() {
    let mut replies = OverdueReplies::default();
    replies.record_sent(0, 1, pending_reply(1_000, 20_000, true));
    replies.record_sent(0, 2, pending_reply(1_000, 20_000, true));
    assert!(!replies.wants_canary(900));
    assert_eq!(replies.tick(19_999), vec![]);
    assert_eq!(replies.tick(20_000), vec![OverdueFinding::Overdue, OverdueFinding::Overdue]);
}
