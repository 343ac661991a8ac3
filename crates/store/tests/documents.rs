//! A document number is assigned to a single document. Operators get consistent answers despite races, lost replies,
//! restarts and changes of members (docs/design-control.md).
mod cluster;

use assert_matches::assert_matches;
use cluster::{Cluster, voter};
use quincehatch_core::{ErrorCode, Name};
use quincehatch_store::limits::LOG_MAX_ENTRIES;
use quincehatch_store::store::MAX_ANSWERED_WRITES;
use quincehatch_store::store::MAX_RECORDED_DOCUMENTS;
use quincehatch_store::{Answer, Command, Entry, Reply, Request, Store, View, Voter};

const THREE: [&str; 3] = ["k1", "k2", "k3"];
/// First token of the writes that overflow the log and the retained answers.
const FIRST_FILL_TOKEN: u64 = 1_000_000;

/// A chain, and operators who send documents to it.
struct Operators {
    cluster: Cluster,
    token: u64,
}

fn adopt(number: u64, content: &str) -> Command {
    let (text, source) = (format!("text {number} {content}"), format!("source {number} {content}"));
    Command::AdoptDocument { number, text, source, by: "t".into() }
}

/// Returns the idempotency key of a document, which depends only on its number and content.
fn key(number: u64, content: &str) -> Name {
    format!("adopt/{number}/{content}").into()
}

fn confirmed(reply: &Reply) -> bool {
    matches!(reply, Reply::Answer { answer: Answer::Version(_), .. })
}

fn rejected(reply: &Reply) -> bool {
    matches!(reply, Reply::Answer { answer: Answer::Rejected(error), .. } if error.has_code(ErrorCode::NumberTaken))
}

impl Operators {
    fn new() -> Self {
        let mut cluster = Cluster::new(&THREE);
        cluster.run_for(6_000);
        Self { cluster, token: 0 }
    }

    fn head(&self) -> String {
        let tail = self.cluster.tail().expect("a keeper serves");
        self.cluster.view(&tail).head().unwrap().to_string()
    }

    /// Sends a document to a keeper, follows a redirect, and returns the token of the request.
    fn send(&mut self, keeper: &str, number: u64, content: &str) -> u64 {
        let request = Request::Write { key: key(number, content), command: adopt(number, content) };
        self.token += 1;
        self.cluster.request(keeper, self.token, request.clone());
        if let Some(Reply::Redirect { view }) = self.cluster.reply_to(self.token) {
            self.token += 1;
            let head = view.head().unwrap().to_string();
            self.cluster.request(&head, self.token, request);
        }
        self.token
    }

    /// Sends a document to the head and returns the reply.
    fn offer(&mut self, number: u64, content: &str) -> Reply {
        let head = self.head();
        let token = self.send(&head, number, content);
        self.cluster.run_for(300);
        self.cluster.reply_to(token).unwrap_or_else(|| panic!("{number} {content} is not answered"))
    }

    fn document_in_force(&mut self) -> Option<String> {
        let tail = self.cluster.tail().unwrap();
        self.token += 1;
        self.cluster.request(&tail, self.token, Request::ReadDocument);
        assert_matches!(self.cluster.reply_to(self.token), Some(Reply::Document { document }) => document.map(|document| document.source))
    }

    fn adopt_three(&mut self) {
        assert!(confirmed(&self.offer(7, "a")));
        assert!(confirmed(&self.offer(9, "c")));
        assert!(confirmed(&self.offer(5, "late")), "an unused lower number is acknowledged");
        assert_eq!(self.document_in_force().as_deref(), Some("source 9 c"));
    }

    /// Checks that every document is recognised, and that no other document is confirmed under its number.
    fn check_all_answers(&mut self) {
        for (number, content) in [(7, "a"), (9, "c"), (5, "late")] {
            assert!(confirmed(&self.offer(number, content)), "{number} {content} was adopted");
            assert!(rejected(&self.offer(number, "of another")), "{number} belongs to another document");
        }
        assert_eq!(
            self.document_in_force().as_deref(),
            Some("source 9 c"),
            "a repeated document changes nothing"
        );
    }

    /// Makes so many writes that neither the log nor the retained answers contain the earlier ones.
    fn overflow_log_and_answers(&mut self) {
        let head = self.head();
        for i in 0..(MAX_ANSWERED_WRITES.max(LOG_MAX_ENTRIES) + 8) as u64 {
            let command = Command::AcquireFence { duty: "d".into(), by: "t".into() };
            self.cluster.request(
                &head,
                FIRST_FILL_TOKEN + i,
                Request::Write { key: format!("f/{i}").into(), command },
            );
            if i % 200 == 0 {
                self.cluster.run_for(60);
            }
        }
        self.cluster.run_for(300);
    }
}

#[test]
fn only_one_operator_is_confirmed_when_two_use_one_number() {
    for keepers in [["k2", "k3"], ["k3", "k1"], ["k1", "k2"]] {
        let mut operators = Operators::new();
        let tokens = [operators.send(keepers[0], 7, "a"), operators.send(keepers[1], 7, "b")];
        operators.cluster.run_for(300);
        let replies = tokens.map(|token| operators.cluster.reply_to(token).unwrap());
        assert!(confirmed(&replies[0]), "{replies:?}");
        assert!(rejected(&replies[1]), "{replies:?}");
        assert_eq!(operators.document_in_force().as_deref(), Some("source 7 a"));
    }
}

#[test]
fn a_document_is_recognised_when_log_and_answers_no_longer_hold_it() {
    let mut operators = Operators::new();
    operators.adopt_three();
    operators.check_all_answers();
    operators.overflow_log_and_answers();
    assert!(
        operators.cluster.keepers["k1"].store.answered_write(&key(7, "a")).is_none(),
        "its answer is no longer retained"
    );
    operators.check_all_answers();
}

#[test]
fn a_document_is_recognised_when_all_keepers_restarted() {
    let mut operators = Operators::new();
    operators.adopt_three();
    for keeper in THREE {
        operators.cluster.restart(keeper);
    }
    operators.cluster.run_for(6_000);
    operators.check_all_answers();
}

#[test]
fn a_document_is_recognised_when_a_new_member_is_the_head() {
    let mut operators = Operators::new();
    operators.adopt_three();
    operators.overflow_log_and_answers();
    let cluster = &mut operators.cluster;
    cluster.down = vec!["k2".into()];
    cluster.run_for(3_000);
    let view = cluster.view("k1").clone();
    let remaining: Vec<Voter> = view.voters.iter().filter(|voter| voter.name != "k2").cloned().collect();
    cluster.request(
        "k1",
        900_001,
        Request::ChangeVoters { version: view.version, voters: remaining.clone() },
    );
    cluster.run_for(3_000);
    cluster.add("k4", View::default());
    let version = cluster.view("k1").version;
    let voters = [remaining, vec![voter("k4")]].concat();
    cluster.request("k3", 900_002, Request::ChangeVoters { version, voters });
    cluster.run_for(6_000);
    assert_eq!(cluster.view("k1").members, ["k1", "k3", "k4"]);
    // Both older members stop and return in turn, so the new member, which fetched the store, becomes the head.
    for old in ["k1", "k3"] {
        cluster.down.push(old.into());
        cluster.run_for(5_000);
        cluster.down.retain(|name| name != old);
        cluster.run_for(5_000);
    }
    assert_eq!(cluster.view("k4").head().map(Name::as_str), Some("k4"));
    operators.check_all_answers();
}

#[test]
fn no_document_is_rejected_when_the_entry_that_took_its_number_is_lost() {
    let mut operators = Operators::new();
    operators.cluster.partitioned = vec!["k1".into()];
    // The partitioned head has one of the documents in its log, but no other keeper ever receives it.
    let lost = [operators.send("k1", 7, "a"), operators.send("k1", 7, "b")];
    operators.cluster.run_for(5_000);
    assert!(confirmed(&operators.offer(7, "b")));
    operators.cluster.partitioned.clear();
    operators.cluster.run_for(6_000);
    for token in lost {
        let reply = operators.cluster.reply_to(token);
        assert!(!reply.as_ref().is_some_and(|reply| confirmed(reply) || rejected(reply)), "{reply:?}");
    }
    assert!(confirmed(&operators.offer(7, "b")));
    assert!(rejected(&operators.offer(7, "a")));
    assert_eq!(operators.document_in_force().as_deref(), Some("source 7 b"));
}

/// The head is in contact with a majority, but the entry that recorded the number remains uncommitted and is lost.
#[test]
fn no_document_is_rejected_while_the_entry_that_took_its_number_is_uncommitted() {
    let mut operators = Operators::new();
    operators.cluster.unreachable = vec!["k2".into()];
    let tokens = [operators.send("k1", 7, "a"), operators.send("k1", 7, "b")];
    operators.cluster.run_for(400);
    assert_eq!(tokens.map(|token| operators.cluster.reply_to(token)), [None, None]);
    operators.cluster.down = vec!["k1".into()];
    operators.cluster.unreachable.clear();
    operators.cluster.run_for(6_000);
    assert!(confirmed(&operators.offer(7, "b")));
    assert!(rejected(&operators.offer(7, "a")));
}

fn apply(store: &mut Store, number: u64, content: &str) -> Answer {
    let change = store.last_change + 1;
    let entry = Entry { number: change, key: format!("{change}").into(), command: adopt(number, content) };
    store.apply(&entry).unwrap()
}

#[test]
fn the_lowest_numbers_are_neither_confirmed_nor_rejected_when_too_many_were_taken() {
    let mut store = Store::default();
    for number in 1..=MAX_RECORDED_DOCUMENTS as u64 + 2 {
        assert_matches!(apply(&mut store, number, "a"), Answer::Version(_));
    }
    assert_eq!(store.documents.taken.len(), MAX_RECORDED_DOCUMENTS);
    for (number, content) in [(1, "a"), (2, "b")] {
        let answer = apply(&mut store, number, content);
        assert_matches!(answer, Answer::Rejected(error) if error.has_code(ErrorCode::NumberForgotten) && error.http_status() == 503);
    }
    assert_matches!(apply(&mut store, 3, "a"), Answer::Version(_));
    assert_matches!(apply(&mut store, 3, "b"), Answer::Rejected(error) if error.has_code(ErrorCode::NumberTaken));
}
