//! Tests how stalls are distinguished from long queries.
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
fn a_late_reply_is_a_long_query_when_other_requests_are_answered() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=1);
    send(&mut replies, 500, 2..=2);
    replies.record_answer(600, 2);
    assert_eq!(replies.tick(999), vec![]);
    assert_eq!(replies.tick(1_000), vec![], "as many replies were on time as late: a long query");
    assert_eq!(replies.tick(1_599), vec![]);
    assert_eq!(replies.tick(30_000), vec![OverdueFinding::Overdue]);
}

#[test]
fn lateness_is_reported_when_late_replies_outnumber_those_on_time() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=4);
    replies.record_answer(990, 4);
    assert_eq!(replies.tick(1_000), vec![OverdueFinding::Late]);
}

#[test]
fn silence_is_a_stall_only_when_enough_first_attempts_are_unanswered() {
    for unanswered in [MIN_UNANSWERED_FOR_STALL - 1, MIN_UNANSWERED_FOR_STALL] {
        let mut replies = OverdueReplies::default();
        replies.record_answer(5, 99);
        send(&mut replies, 10, 1..=1);
        assert!(!replies.needs_canary(200) && replies.needs_canary(300));
        send(&mut replies, 300, 2..=unanswered as u64);
        assert!(!replies.needs_canary(310), "no second canary within the interval");
        assert_eq!(replies.tick(1_009), vec![]);
        let findings = replies.tick(1_010);
        assert_eq!(findings.contains(&OverdueFinding::Stall), unanswered == MIN_UNANSWERED_FOR_STALL);
    }
}

#[test]
fn a_late_reply_is_a_long_query_when_a_canary_is_answered() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=MIN_UNANSWERED_FOR_STALL as u64);
    send(&mut replies, 700, 9..=9);
    replies.record_answer(702, 9);
    assert!(!replies.tick(1_000).contains(&OverdueFinding::Stall));
    assert!(!replies.needs_canary(800));
}

#[test]
fn unanswered_retries_give_neither_a_stall_nor_lateness() {
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
fn a_stall_is_detected_when_it_begins_after_other_answers() {
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
fn a_lone_reply_is_a_stall_when_it_is_unanswered_for_twice_its_timeout() {
    let mut replies = OverdueReplies::default();
    send(&mut replies, 0, 1..=1);
    assert_eq!(replies.tick(1_999), vec![]);
    assert_eq!(replies.tick(2_000), vec![OverdueFinding::Stall]);
}

#[test]
fn a_long_running_reply_is_overdue_only_after_its_query_timeout() {
    let mut replies = OverdueReplies::default();
    replies.record_sent(0, 1, pending_reply(1_000, 20_000, true));
    replies.record_sent(0, 2, pending_reply(1_000, 20_000, true));
    assert!(!replies.needs_canary(900));
    assert_eq!(replies.tick(19_999), vec![]);
    assert_eq!(replies.tick(20_000), vec![OverdueFinding::Overdue, OverdueFinding::Overdue]);
}
