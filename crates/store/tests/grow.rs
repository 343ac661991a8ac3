//! A chain that is to bear two lost machines is longer than the three seeds it starts with (§5.9).
mod kit;

use assert_matches::assert_matches;
use kit::Net;
use quincehatch_core::Name;
use quincehatch_store::{AdoptedDocument, Answer, Command, Reply, Request, View};

const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];
const SPARE: [(&str, &str); 5] =
    [("d:1#1", "d:1"), ("e:1#2", "e:1"), ("f:1#3", "f:1"), ("g:1#4", "g:1"), ("h:1#5", "h:1")];

fn net(borne: usize) -> Net {
    let mut net = Net { now: 1_000, borne: Some(borne), ..Default::default() };
    for s in SEEDS {
        net.seeker(s, s, &SEEDS, View::initial(&SEEDS.map(Name::from)));
    }
    for (n, at) in SPARE {
        net.seeker(n, at, &SEEDS, View::default());
    }
    net.run(10_000);
    net
}

fn adopt(net: &mut Net, number: u64) -> Option<Reply> {
    let head = net.tail().and_then(|t| net.view(&t).head().cloned())?;
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    let cmd = Command::AdoptDocument { number, text, source, by: "t".into() };
    net.ask(&head, number, Request::Write { key: format!("k{number}").into(), command: cmd });
    net.run(2_000);
    net.rep(number)
}

fn adopted(net: &mut Net, token: u64) -> Option<AdoptedDocument> {
    let tail = net.tail()?;
    net.ask(&tail, token, Request::Adopted);
    assert_matches!(net.rep(token), Some(Reply::Adopted { adopted }) => adopted)
}

/// The machine comes back with an empty disk: another keeper at the same address.
fn wipe(net: &mut Net, name: &Name) {
    let at = net.view("a:1").addr(name).cloned().unwrap();
    net.ks.remove(name);
    net.disks.remove(name);
    net.seeker(&format!("{at}#w"), &at, &SEEDS, View::default());
}

#[test]
fn spares_come_in_until_two_may_be_lost_and_no_further() {
    let net = net(2);
    let v = net.view("a:1");
    assert_eq!((v.voters.len(), v.members.len()), (5, 5), "{v:?}");
    assert!(SEEDS.iter().all(|s| v.is_member(s)));
}

#[test]
fn where_one_is_to_be_borne_three_are_enough() {
    assert_eq!(net(1).view("a:1").voters.len(), 3);
}

#[test]
fn with_two_of_five_down_writes_go_on() {
    for down in [["a:1", "c:1"], ["b:1", "d:1#1"], ["a:1", "e:1#2"]] {
        let mut net = net(2);
        net.down = down.map(Name::from).to_vec();
        net.run(4_500);
        let got = adopt(&mut net, 7);
        assert_matches!(got, Some(Reply::Answer { answer: Answer::Version(1), .. }), "{down:?}");
    }
}

#[test]
fn two_wiped_disks_and_a_loss_of_power_keep_what_was_acknowledged() {
    let mut net = net(2);
    assert_matches!(adopt(&mut net, 7), Some(Reply::Answer { .. }));
    let members = net.view("a:1").members.clone();
    for name in members.iter().filter(|m| *m != "a:1").take(2) {
        wipe(&mut net, name);
    }
    // The others lose power for a moment and find what their disks hold.
    let rest: Vec<Name> = net.ks.keys().filter(|k| !k.contains("#w")).cloned().collect();
    for n in rest {
        let at = net.at.iter().find(|(_, k)| **k == n).map(|(a, _)| a.clone()).unwrap();
        net.ks.remove(&n);
        net.seeker(&n, &at, &SEEDS, View::default());
    }
    net.run(8_000);
    assert_eq!(adopted(&mut net, 20).map(|a| a.number), Some(7));
    let v = net.view("a:1").clone();
    assert_eq!((v.voters.len(), v.members.len()), (5, 5), "{v:?}");
    assert_matches!(adopt(&mut net, 8), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}
