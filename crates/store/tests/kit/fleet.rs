//! Three keepers that find their places by themselves, and what may happen to them (§5.9).
use super::Net;
use assert_matches::assert_matches;
use quincehatch_core::{Millis, Name};
use quincehatch_store::keeper::Input;
use quincehatch_store::{AdoptedDocument, Answer, Command, Reply, Request, View};

pub const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

/// Three keepers that have found each other.
pub fn net() -> Net {
    let mut net = Net { now: 1_000, ..Default::default() };
    for s in SEEDS {
        net.seeker(s, s, &SEEDS, View::initial(&SEEDS.map(Name::from)));
    }
    net.run(6_000);
    net
}

pub fn write(net: &mut Net, number: u64) {
    let head = net.tail().and_then(|t| net.view(&t).head().cloned()).unwrap();
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    let cmd = Command::AdoptDocument { number, text, source, by: "t".into() };
    net.ask(&head, number, Request::Write { key: format!("k{number}").into(), command: cmd });
}

pub fn is_acknowledged(net: &Net, number: u64) -> bool {
    matches!(net.rep(number), Some(Reply::Answer { answer: Answer::Version(_), .. }))
}

pub fn adopted(net: &mut Net, token: u64) -> Option<AdoptedDocument> {
    let tail = net.tail()?;
    net.ask(&tail, token, Request::Adopted);
    assert_matches!(net.rep(token), Some(Reply::Adopted { adopted }) => adopted)
}

/// One machine goes for good, an empty one comes at another address.
pub fn replace(net: &mut Net, lost: &str, name: &str, after: Millis) {
    net.down.push(lost.into());
    net.run(after);
    let addr = name.split('#').next().unwrap();
    net.seeker(name, addr, &["a:1", "b:1", "c:1"], View::default());
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
