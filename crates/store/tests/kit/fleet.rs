//! Three keepers that find their places by themselves, and what may happen to them.
use super::{Net, START};
use assert_matches::assert_matches;
use quincehatch_core::{Millis, Name};
use quincehatch_store::{AdoptedDocument, Answer, Command, Input, Reply, Request, View};

pub const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

/// The first view of a chain of the seeds.
pub fn first_view() -> View {
    View::initial(&SEEDS.map(Name::from))
}

/// Three keepers that have just started, each with the first view.
pub fn starting(tolerated_losses: usize) -> Net {
    let mut net = Net { now: START, borne: Some(tolerated_losses), ..Default::default() };
    for seed in SEEDS {
        net.seeker(seed, seed, &SEEDS, first_view());
    }
    net
}

/// Three keepers that serve.
pub fn net() -> Net {
    let mut net = starting(1);
    net.run(6_000);
    net
}

/// The operator's document with that number.
pub fn adopt(number: u64) -> Command {
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    Command::AdoptDocument { number, text, source, by: "t".into() }
}

/// Sends the document with that number to the head; the number is the token too.
pub fn write(net: &mut Net, number: u64) {
    let head = net.head().unwrap();
    net.ask(&head, number, Request::Write { key: format!("k{number}").into(), command: adopt(number) });
}

pub fn is_acknowledged(net: &Net, number: u64) -> bool {
    matches!(net.rep(number), Some(Reply::Answer { answer: Answer::Version(_), .. }))
}

/// The document in force, as the tail reads it.
pub fn adopted(net: &mut Net, token: u64) -> Option<AdoptedDocument> {
    let tail = net.tail()?;
    net.ask(&tail, token, Request::ReadDocument);
    assert_matches!(net.rep(token), Some(Reply::Document { document }) => document)
}

/// A machine is lost for good; `after` that time an empty one starts as the keeper `name`.
pub fn replace(net: &mut Net, lost: &str, name: &str, after: Millis) {
    net.down.push(lost.into());
    net.run(after);
    let addr = name.split('#').next().unwrap();
    net.seeker(name, addr, &SEEDS, View::default());
}

/// Time in which a keeper has left.
pub const LEAVE_WITHIN: Millis = 4_500;

pub fn leave(net: &mut Net, name: &str) {
    net.step(name, Input::Leave { within: LEAVE_WITHIN });
}

/// Runs until the leaving keeper may end, and ends it; how long that took.
pub fn until_left(net: &mut Net, name: &str) -> Millis {
    let began = net.now;
    while !net.ks[name].has_left() {
        net.run(20);
        assert!(net.now < began + LEAVE_WITHIN + 500, "{name} does not end");
    }
    net.run(100);
    net.down.push(name.into());
    net.now - began
}
