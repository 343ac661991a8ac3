//! Tests of a stand-in's replication by single steps (docs/server.md).
use quincehatch_testbed::database::{Database, KeyOutcome, PullRequest, Write};
use serde_json::Value;

fn request(replica: &Database) -> PullRequest {
    PullRequest { server: replica.name.clone(), fence: replica.fence, have: replica.log_end() }
}

/// Number of pulls within which a replica must have all of a short log.
const MAX_PULLS: usize = 4;
/// Largest number of records in a pull response.
const RECORDS_PER_PULL: usize = 9;

fn sync(primary: &mut Database, replica: &mut Database) {
    for _ in 0..MAX_PULLS {
        let Some(response) = primary.serve_pull(&request(replica), RECORDS_PER_PULL) else { return };
        replica.apply_pull(response);
    }
}

/// Adds to the value `x` under an idempotency key and returns the record's number.
fn commit(primary: &mut Database, key: &str, amount: i64) -> u64 {
    primary.add_commit(key, "x", vec![Write::Add("x".into(), amount)], Value::Null)
}

/// Guards against a late pull response being appended after the server's own records: the server sent a pull, was
/// primary for a moment, was fenced, and only then received the response (drawn seed 2000857).
#[test]
fn a_pull_response_from_before_a_promotion_is_not_appended_after_own_records() {
    let (mut first, mut second) = (Database::new("a"), Database::new("b"));
    first.promote(2, vec![]);
    sync(&mut first, &mut second);
    let early_request = request(&second);
    for key in ["t1", "t2", "t3"] {
        commit(&mut first, key, 1);
    }
    assert!(second.promote(3, vec![]) && first.promote(4, vec![]) && second.set_fence(4));
    let late = first.serve_pull(&early_request, 9).unwrap();
    second.apply_pull(late);
    let mixed = second.log.windows(2).any(|pair| pair[1].position.fence < pair[0].position.fence);
    assert!(!mixed, "{:?}", second.log.iter().map(|record| record.summary()).collect::<Vec<_>>());
    sync(&mut first, &mut second);
    assert_eq!(second.log, first.log);
}

#[test]
fn a_restarted_primary_is_not_readable_until_its_whole_log_is_committed() {
    let (mut primary, mut replica) = (Database::new("a"), Database::new("b"));
    primary.promote(1, vec![]);
    sync(&mut primary, &mut replica);
    commit(&mut primary, "t1", 1);
    sync(&mut primary, &mut replica);
    assert!(primary.is_readable());
    let mut restarted = Database::replay("a", std::mem::take(&mut primary.unwritten).into_iter());
    assert!(!restarted.is_readable() && restarted.values.is_empty());
    sync(&mut restarted, &mut replica);
    assert!(restarted.is_readable());
    assert_eq!(restarted.values.get("x"), Some(&Value::from(1)));
}

#[test]
fn a_record_commits_on_two_servers_and_a_demoted_primary_truncates_its_log() {
    let mut first = Database::new("a");
    let mut second = Database::new("b");
    let mut third = Database::new("c");
    assert!(first.promote(1, vec![]));
    sync(&mut first, &mut second);
    let number = commit(&mut first, "t1", 1);
    assert!(first.commit < number);
    sync(&mut first, &mut second);
    assert_eq!(first.commit, number);
    commit(&mut first, "lost", 5);
    // The other two servers are fenced and the more advanced one is promoted. The old primary must drop the record that
    // only it has.
    assert!(second.set_fence(2) && third.set_fence(2));
    let fenced_request = PullRequest { server: "b".into(), fence: 2, have: second.log_end() };
    assert!(first.serve_pull(&fenced_request, 9).is_none());
    assert!(second.promote(2, vec![]));
    sync(&mut second, &mut third);
    sync(&mut second, &mut first);
    assert_eq!(first.values.get("x"), Some(&Value::from(1)));
    assert_eq!(first.log, second.log);
    assert_eq!(first.outcome("lost"), KeyOutcome::NotCommitted);
    assert_matches::assert_matches!(third.outcome("t1"), KeyOutcome::Committed { sum, .. } if sum == "x");
}
