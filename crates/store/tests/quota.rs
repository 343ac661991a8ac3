//! Quotas of tenants: settlements at the tail of the chain.
mod cluster;

use assert_matches::assert_matches;
use cluster::Cluster;
use cluster::three_keepers::serving_cluster;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_quota::{Claim, Grant};
use quincehatch_store::{Answer, Command, Reply, Request};

const CONFIGURATION: &str = r#"{"tenants":[{"name":"rowan","keys":[],"rate_per_s":100,"burst":50}]}"#;

struct Chain {
    cluster: Cluster,
    token: u64,
}

impl Chain {
    /// Starts a chain whose configuration limits a tenant to 100 operations a second with a burst of 50.
    fn serving() -> Chain {
        let mut chain = Chain { cluster: serving_cluster(), token: 100 };
        let document = Command::AdoptDocument {
            number: 1,
            text: CONFIGURATION.into(),
            source: CONFIGURATION.into(),
            by: "operator".into(),
        };
        chain.write(document);
        chain
    }

    fn write(&mut self, command: Command) -> Answer {
        self.token += 1;
        let head = self.cluster.head().unwrap();
        let key = Name::from(format!("key-{}", self.token));
        self.cluster.request(&head, self.token, Request::Write { key, command });
        self.cluster.run_for(2_000);
        assert_matches!(self.cluster.reply_to(self.token), Some(Reply::Answer { answer, .. }) => answer)
    }

    fn enroll(&mut self, node: &str) -> ChangeNumber {
        let answer = self.write(Command::EnrollNode { node: node.into(), incarnation: 1 });
        assert_matches!(answer, Answer::Enrolled(number) => number)
    }

    /// Settles with a keeper for a node that needs this number of tokens, and returns the reply.
    fn settle(&mut self, keeper: &str, node: &str, enrolled: ChangeNumber, needed: u32) -> Reply {
        self.try_settle(keeper, node, enrolled, needed).unwrap()
    }

    /// Settles as [`Chain::settle`] does; returns `None` if the keeper does not answer.
    fn try_settle(&mut self, keeper: &str, node: &str, enrolled: ChangeNumber, needed: u32) -> Option<Reply> {
        let claim = Claim {
            tenant: "rowan".into(),
            held: 0,
            returned: 0,
            overdrawn: 0,
            needed,
            reserve: 0,
            used: 0,
            rejected: 0,
        };
        self.token += 1;
        let request = Request::SettleQuota { node: node.into(), enrolled, claims: vec![claim] };
        self.cluster.request(keeper, self.token, request);
        self.cluster.reply_to(self.token)
    }

    fn tail(&self) -> Name {
        self.cluster.tail().unwrap()
    }
}

fn granted(reply: Reply) -> Grant {
    assert_matches!(reply, Reply::QuotaGranted { mut settlement } => settlement.grants.remove(0))
}

#[test]
fn only_an_enrolled_process_is_granted_tokens_and_only_by_the_tail() {
    let mut chain = Chain::serving();
    let enrolled = chain.enroll("n1");
    let tail = chain.tail();
    chain.settle(&tail, "n1", enrolled, 0);
    chain.cluster.run_for(2_000);
    assert_eq!(granted(chain.settle(&tail, "n1", enrolled, 5)).tokens, 5);
    assert_matches!(chain.settle(&tail, "n1", enrolled + 1, 5), Reply::NotEnrolled);
    assert_matches!(chain.settle(&tail, "n9", enrolled, 5), Reply::NotEnrolled);
    let head = chain.cluster.head().unwrap();
    assert_matches!(chain.settle(&head, "n1", enrolled, 5), Reply::Redirect { .. });
}

#[test]
fn no_more_is_granted_than_rate_and_burst_allow() {
    let mut chain = Chain::serving();
    let enrolled = chain.enroll("n1");
    let tail = chain.tail();
    chain.settle(&tail, "n1", enrolled, 0);
    chain.cluster.run_for(5_000);
    let grant = granted(chain.settle(&tail, "n1", enrolled, 1_000));
    assert_eq!((grant.tokens, grant.exhausted_ms > 0), (50, true));
    chain.cluster.run_for(100);
    assert!(granted(chain.settle(&tail, "n1", enrolled, 1_000)).tokens <= 12, "100 a second");
}

/// The new tail does not know the grants of the previous tail.
#[test]
fn a_new_tail_begins_with_empty_accounts() {
    let mut chain = Chain::serving();
    let enrolled = chain.enroll("n1");
    let tail = chain.tail();
    chain.settle(&tail, "n1", enrolled, 0);
    chain.cluster.run_for(5_000);
    assert_eq!(granted(chain.settle(&tail, "n1", enrolled, 50)).tokens, 50);
    chain.cluster.down.push(tail.clone());
    let new_tail = loop {
        chain.cluster.run_for(20);
        let Some(candidate) = chain.cluster.tail().filter(|candidate| *candidate != tail) else { continue };
        let reply = chain.try_settle(&candidate, "n1", enrolled, 50);
        if matches!(reply, Some(Reply::QuotaGranted { .. })) {
            break candidate;
        }
    };
    let grant = granted(chain.settle(&new_tail, "n1", enrolled, 50));
    assert!(grant.tokens <= 2 && grant.exhausted_ms > 0, "{grant:?}");
}

/// A lower limit applies from the next settlement on.
#[test]
fn a_lower_limit_is_in_force_at_once() {
    let mut chain = Chain::serving();
    let enrolled = chain.enroll("n1");
    let tail = chain.tail();
    chain.settle(&tail, "n1", enrolled, 0);
    chain.cluster.run_for(5_000);
    let lower = CONFIGURATION.replace("\"burst\":50", "\"burst\":3").replace("100", "10");
    let (text, source) = (lower.clone(), lower);
    chain.write(Command::AdoptDocument { number: 2, text, source, by: "operator".into() });
    assert_eq!(granted(chain.settle(&tail, "n1", enrolled, 50)).tokens, 3);
}
