//! One number, one document: what operators are answered through races, lost answers, restarts and changes of
//! members (§5.2, docs/design-control.md).
mod kit;

use assert_matches::assert_matches;
use kit::{Net, voter};
use quincehatch_core::{ErrorCode, Name};
use quincehatch_store::documents::MAX_REMEMBERED_DOCUMENTS;
use quincehatch_store::limits::LOG_MAX_ENTRIES;
use quincehatch_store::store::MAX_ANSWERED_WRITES;
use quincehatch_store::{Answer, Command, Entry, Reply, Request, Store, View, Voter};

const THREE: [&str; 3] = ["k1", "k2", "k3"];
/// First token of the writes that fill log and answers.
const FILL: u64 = 1_000_000;

/// Operators at the doors of a chain.
struct Operators {
    net: Net,
    token: u64,
}

fn adopt(number: u64, content: &str) -> Command {
    let (text, source) = (format!("text {number} {content}"), format!("source {number} {content}"));
    Command::AdoptDocument { number, text, source, by: "t".into() }
}

/// The key under which a door writes a document: of its number and content alone.
fn key(number: u64, content: &str) -> Name {
    format!("adopt/{number}/{content}").into()
}

fn confirmed(reply: &Reply) -> bool {
    matches!(reply, Reply::Answer { answer: Answer::Version(_), .. })
}

fn refused(reply: &Reply) -> bool {
    matches!(reply, Reply::Answer { answer: Answer::Rejected(e), .. } if e.has_code(ErrorCode::NumberTaken))
}

impl Operators {
    fn new() -> Self {
        let mut net = Net::new(&THREE);
        net.run(6_000);
        Self { net, token: 0 }
    }

    fn head(&self) -> String {
        let tail = self.net.tail().expect("a keeper serves");
        self.net.view(&tail).head().unwrap().to_string()
    }

    /// Sends a document through a keeper; the token of the write at the head.
    fn send(&mut self, door: &str, number: u64, content: &str) -> u64 {
        let request = Request::Write { key: key(number, content), command: adopt(number, content) };
        self.token += 1;
        self.net.ask(door, self.token, request.clone());
        if let Some(Reply::Redirect { view }) = self.net.rep(self.token) {
            self.token += 1;
            let head = view.head().unwrap().to_string();
            self.net.ask(&head, self.token, request);
        }
        self.token
    }

    /// Sends a document through the head of the serving view, and waits for the answer.
    fn offer(&mut self, number: u64, content: &str) -> Reply {
        let head = self.head();
        let token = self.send(&head, number, content);
        self.net.run(300);
        self.net.rep(token).unwrap_or_else(|| panic!("{number} {content} is not answered"))
    }

    fn newest(&mut self) -> Option<String> {
        let tail = self.net.tail().unwrap();
        self.token += 1;
        self.net.ask(&tail, self.token, Request::ReadDocument);
        assert_matches!(self.net.rep(self.token), Some(Reply::Document { document: adopted }) => adopted.map(|a| a.source))
    }

    fn take_three(&mut self) {
        assert!(confirmed(&self.offer(7, "a")));
        assert!(confirmed(&self.offer(9, "c")));
        assert!(confirmed(&self.offer(5, "late")), "an older number that nobody took is acknowledged");
        assert_eq!(self.newest().as_deref(), Some("source 9 c"));
    }

    /// Every document is known again, and none is confirmed under a number of another.
    fn check_all_answers(&mut self) {
        for (number, content) in [(7, "a"), (9, "c"), (5, "late")] {
            assert!(confirmed(&self.offer(number, content)), "{number} {content} was taken");
            assert!(refused(&self.offer(number, "of another")), "{number} is another's");
        }
        assert_eq!(self.newest().as_deref(), Some("source 9 c"), "what was sent again alters nothing");
    }

    /// So many writes that neither log nor remembered answers reach back.
    fn outrun_log_and_answers(&mut self) {
        let head = self.head();
        for i in 0..(MAX_ANSWERED_WRITES.max(LOG_MAX_ENTRIES) + 8) as u64 {
            let cmd = Command::AcquireFence { duty: "d".into(), by: "t".into() };
            self.net.ask(&head, FILL + i, Request::Write { key: format!("f/{i}").into(), command: cmd });
            if i % 200 == 0 {
                self.net.run(60);
            }
        }
        self.net.run(300);
    }
}

#[test]
fn two_operators_under_one_number_are_never_both_confirmed() {
    for doors in [["k2", "k3"], ["k3", "k1"], ["k1", "k2"]] {
        let mut operators = Operators::new();
        let tokens = [operators.send(doors[0], 7, "a"), operators.send(doors[1], 7, "b")];
        operators.net.run(300);
        let replies = tokens.map(|t| operators.net.rep(t).unwrap());
        assert!(confirmed(&replies[0]), "{replies:?}");
        assert!(refused(&replies[1]), "{replies:?}");
        assert_eq!(operators.newest().as_deref(), Some("source 7 a"));
    }
}

#[test]
fn a_document_is_known_again_after_later_ones_and_beyond_log_and_answers() {
    let mut operators = Operators::new();
    operators.take_three();
    operators.check_all_answers();
    operators.outrun_log_and_answers();
    assert!(
        operators.net.ks["k1"].store.answered_write(&key(7, "a")).is_none(),
        "its answer is no longer remembered"
    );
    operators.check_all_answers();
}

#[test]
fn a_document_is_known_again_after_a_restart_of_all() {
    let mut operators = Operators::new();
    operators.take_three();
    for keeper in THREE {
        operators.net.again(keeper);
    }
    operators.net.run(6_000);
    operators.check_all_answers();
}

#[test]
fn a_document_is_known_again_by_a_new_member_that_leads() {
    let mut operators = Operators::new();
    operators.take_three();
    operators.outrun_log_and_answers();
    let net = &mut operators.net;
    net.down = vec!["k2".into()];
    net.run(3_000);
    let view = net.view("k1").clone();
    let rest: Vec<Voter> = view.voters.iter().filter(|m| m.name != "k2").cloned().collect();
    net.ask("k1", 900_001, Request::ChangeVoters { version: view.version, voters: rest.clone() });
    net.run(3_000);
    net.add("k4", View::default());
    let (version, machines) = (net.view("k1").version, [rest, vec![voter("k4")]].concat());
    net.ask("k3", 900_002, Request::ChangeVoters { version, voters: machines });
    net.run(6_000);
    assert_eq!(net.view("k1").members, ["k1", "k3", "k4"]);
    // Both older members go and come back: the new one, which fetched the store, leads.
    for old in ["k1", "k3"] {
        net.down.push(old.into());
        net.run(5_000);
        net.down.retain(|d| d != old);
        net.run(5_000);
    }
    assert_eq!(net.view("k4").head().map(Name::as_str), Some("k4"));
    operators.check_all_answers();
}

#[test]
fn a_refusal_waits_until_the_number_is_taken_for_good() {
    let mut operators = Operators::new();
    operators.net.cut = vec!["k1".into()];
    // The head that is cut off has one of them in its log, and nobody else will ever hold it.
    let lost = [operators.send("k1", 7, "a"), operators.send("k1", 7, "b")];
    operators.net.run(5_000);
    assert!(confirmed(&operators.offer(7, "b")));
    operators.net.cut.clear();
    operators.net.run(6_000);
    for token in lost {
        let reply = operators.net.rep(token);
        assert!(!reply.as_ref().is_some_and(|r| confirmed(r) || refused(r)), "{reply:?}");
    }
    assert!(confirmed(&operators.offer(7, "b")));
    assert!(refused(&operators.offer(7, "a")));
    assert_eq!(operators.newest().as_deref(), Some("source 7 b"));
}

/// A majority is in contact with the head, yet the entry that took the number stays uncommitted and is lost.
#[test]
fn a_refusal_waits_for_the_commit_of_the_entry_it_rests_on() {
    let mut operators = Operators::new();
    operators.net.deaf = vec!["k2".into()];
    let tokens = [operators.send("k1", 7, "a"), operators.send("k1", 7, "b")];
    operators.net.run(400);
    assert_eq!(tokens.map(|t| operators.net.rep(t)), [None, None]);
    operators.net.down = vec!["k1".into()];
    operators.net.deaf.clear();
    operators.net.run(6_000);
    assert!(confirmed(&operators.offer(7, "b")));
    assert!(refused(&operators.offer(7, "a")));
}

fn apply(store: &mut Store, number: u64, content: &str) -> Answer {
    let n = store.last_change + 1;
    let entry = Entry { number: n, key: format!("{n}").into(), command: adopt(number, content) };
    store.apply(&entry).unwrap()
}

#[test]
fn beyond_the_bound_the_lowest_numbers_are_neither_confirmed_nor_refused() {
    let mut store = Store::default();
    for number in 1..=MAX_REMEMBERED_DOCUMENTS as u64 + 2 {
        assert_matches!(apply(&mut store, number, "a"), Answer::Version(_));
    }
    assert_eq!(store.documents.taken.len(), MAX_REMEMBERED_DOCUMENTS);
    for (number, content) in [(1, "a"), (2, "b")] {
        let answer = apply(&mut store, number, content);
        assert_matches!(answer, Answer::Rejected(e) if e.has_code(ErrorCode::NumberForgotten) && e.http_status() == 503);
    }
    assert_matches!(apply(&mut store, 3, "a"), Answer::Version(_));
    assert_matches!(apply(&mut store, 3, "b"), Answer::Rejected(e) if e.has_code(ErrorCode::NumberTaken));
}
