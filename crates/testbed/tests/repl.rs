//! A stand-in's replication, step by step (docs/server.md).
use quincehatch_testbed::database::{Database, PullRequest, Write};
use serde_json::Value;

fn ask(r: &Database) -> PullRequest {
    PullRequest { server: r.name.clone(), fence: r.fence, have: r.log_end() }
}
fn sync(p: &mut Database, r: &mut Database) {
    for _ in 0..4 {
        let Some(got) = p.serve_pull(&ask(r), 9) else { return };
        r.apply_pull(got);
    }
}
fn commit(p: &mut Database, key: &str) {
    p.add_commit(key, "x", vec![Write::Add("x".into(), 1)], Value::Null);
}

/// Drawn seed 2000857: a server asked its primary, led for a moment, was fenced, and only then got the answer.
#[test]
fn a_reply_from_before_this_server_led_is_not_put_behind_its_own_records() {
    let (mut a, mut b) = (Database::new("a"), Database::new("b"));
    a.promote(2, vec![]);
    sync(&mut a, &mut b);
    let asked = ask(&b);
    ["t1", "t2", "t3"].iter().for_each(|t| commit(&mut a, t));
    assert!(b.promote(3, vec![]) && a.promote(4, vec![]) && b.set_fence(4));
    let late = a.serve_pull(&asked, 9).unwrap();
    b.apply_pull(late);
    let mixed = b.log.windows(2).any(|w| w[1].position.fence < w[0].position.fence);
    assert!(!mixed, "{:?}", b.log.iter().map(|r| r.summary()).collect::<Vec<_>>());
    sync(&mut a, &mut b);
    assert_eq!(b.log, a.log);
}
