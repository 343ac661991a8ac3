//! Lost voters, their successors, and keepers that leave (§5.9).
mod kit;

use assert_matches::assert_matches;
use kit::{CATCH_UP, Net};
use qh_core::{Ms, Name};
use qh_state::keeper::Input;
use qh_state::{Adopted, Answer, Command, Reply, Request, View};

const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

fn net() -> Net {
    let mut net = Net { now: 1_000, ..Default::default() };
    for s in SEEDS {
        net.seeker(s, s, &SEEDS, View::first(&SEEDS.map(Name::from)));
    }
    net.run(6_000);
    net
}

fn write(net: &mut Net, number: u64) {
    let head = net.tail().and_then(|t| net.view(&t).head().cloned()).unwrap();
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    let cmd = Command::Adopt { number, text, source, by: "t".into() };
    net.ask(&head, number, Request::Write { key: format!("k{number}").into(), cmd });
}

fn is_acknowledged(net: &Net, number: u64) -> bool {
    matches!(net.rep(number), Some(Reply::Answer { answer: Answer::Version(_), .. }))
}

fn adopted(net: &mut Net, token: u64) -> Option<Adopted> {
    let tail = net.tail()?;
    net.ask(&tail, token, Request::Adopted);
    assert_matches!(net.rep(token), Some(Reply::Adopted { adopted }) => adopted)
}

/// One machine goes for good, an empty one comes at another address.
fn replace(net: &mut Net, lost: &str, name: &str, after: Ms) {
    net.down.push(lost.into());
    net.run(after);
    let addr = name.split('#').next().unwrap();
    net.seeker(name, addr, &["a:1", "b:1", "c:1"], View::default());
}

fn leave(net: &mut Net, name: &str) {
    net.step(name, Input::Leave { within: 3_000 });
}

/// Runs until the leaving keeper may end, and ends it; how long that took.
fn until_left(net: &mut Net, name: &str) -> Ms {
    let began = net.now;
    while !net.ks[name].has_left() {
        net.run(20);
        assert!(net.now < began + 3_500, "{name} does not end");
    }
    net.run(100);
    net.down.push(name.into());
    net.now - began
}

/// A lost machine kept its vote for eight seconds; with the next one lost in that time no majority was left for good.
#[test]
fn a_second_machine_may_be_lost_once_the_first_ones_successor_had_its_time() {
    for start in [300, 1_000, 2_000, 3_500] {
        for lost in [("a:1", "b:1"), ("c:1", "a:1"), ("b:1", "c:1"), ("c:1", "b:1")] {
            let mut net = net();
            write(&mut net, 1);
            net.run(200);
            replace(&mut net, lost.0, "d:1#1", start);
            net.run(CATCH_UP);
            assert_eq!(net.ks["d:1#1"].store.adopted.as_ref().map(|a| a.number), Some(1), "{lost:?} {start}");
            replace(&mut net, lost.1, "e:1#2", start);
            net.run(CATCH_UP);
            let tail = net.tail().expect("a majority is left");
            let view = net.view(&tail).clone();
            assert_eq!((view.members.len(), view.machines.len()), (3, 3), "{lost:?} {start}: {view:?}");
            assert_eq!(adopted(&mut net, 100).map(|a| a.number), Some(1));
            write(&mut net, 2);
            net.run(2_000);
            assert!(is_acknowledged(&net, 2), "{lost:?} {start}");
        }
    }
}

/// All three of the first machines may go, one after the other.
#[test]
fn every_machine_may_be_replaced_in_turn() {
    let mut net = net();
    for (i, lost) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
        write(&mut net, i as u64 + 1);
        net.run(100);
        assert!(is_acknowledged(&net, i as u64 + 1));
        let seeds = ["d:1", "e:1", "f:1"];
        replace(&mut net, lost, &format!("{}#{i}", seeds[i]), 1_000);
        net.run(CATCH_UP);
    }
    assert_eq!(adopted(&mut net, 100).map(|a| a.number), Some(3));
    write(&mut net, 9);
    net.run(1_000);
    assert!(is_acknowledged(&net, 9));
}

/// It votes only with the whole store at hand, and both come with one change.
#[test]
fn a_spare_votes_only_once_it_holds_everything() {
    let mut net = net();
    write(&mut net, 1);
    net.run(200);
    replace(&mut net, "c:1", "d:1#1", 500);
    let mut seen = Vec::new();
    for _ in 0..200 {
        net.run(20);
        let view = net.view("a:1");
        if view.is_voter("d:1#1") {
            assert!(view.has("d:1#1"), "{view:?}");
            assert!(net.ks["d:1#1"].store.adopted.is_some());
        }
        if seen.last() != Some(&view.version) {
            seen.push(view.version);
        }
    }
    assert_eq!(seen.len(), 3, "one change leaves c out, one brings d in: {seen:?}");
}

/// The newcomer is lost as soon as it votes: the next spare takes its place.
#[test]
fn a_newcomer_may_be_lost_itself() {
    let mut net = net();
    write(&mut net, 1);
    net.run(200);
    replace(&mut net, "c:1", "d:1#1", 500);
    while !net.view("a:1").is_voter("d:1#1") {
        net.run(20);
    }
    replace(&mut net, "d:1#1", "e:1#2", 500);
    net.run(CATCH_UP);
    let view = net.view("a:1").clone();
    assert!(view.has("e:1#2") && view.members.len() == 3, "{view:?}");
    assert_eq!(adopted(&mut net, 100).map(|a| a.number), Some(1));
}

/// Without anyone outside, nobody loses a vote, however long it is silent.
#[test]
fn a_vote_goes_to_nobody() {
    let mut net = net();
    net.down = vec!["c:1".into()];
    net.run(30_000);
    assert!(net.view("a:1").is_voter("c:1"));
    net.down.clear();
    net.run(2_000);
    assert!(net.view("a:1").has("c:1"));
}

/// Its vote went to a spare while it was cut off: it is a spare under its old name, and may vote again.
#[test]
fn one_whose_vote_was_given_away_is_a_spare_when_it_returns() {
    let mut net = net();
    write(&mut net, 1);
    net.run(200);
    replace(&mut net, "c:1", "d:1#1", 100);
    net.run(CATCH_UP);
    assert!(!net.view("a:1").is_voter("c:1"));
    write(&mut net, 2);
    net.run(200);
    net.down.clear();
    net.run(1_000);
    assert_eq!(net.view("c:1"), net.view("a:1"));
    net.down = vec!["b:1".into()];
    net.run(CATCH_UP);
    let view = net.view("a:1").clone();
    assert!(view.has("c:1") && !view.is_voter("b:1"), "{view:?}");
    // Those that hold what was written before it returned are lost in turn.
    net.down.push("a:1".into());
    net.run(2_500);
    assert_eq!(adopted(&mut net, 100).map(|a| a.number), Some(2));
}

/// A leave is a change of view and no silence; the new tail need not wait the old one's lease out.
#[test]
fn a_keeper_that_leaves_costs_writes_no_term() {
    for leaver in SEEDS {
        let mut net = net();
        let enrolled = net.enroll("n1", 50);
        net.poll("n1", 51, enrolled, enrolled);
        net.run(100);
        leave(&mut net, leaver);
        let took = until_left(&mut net, leaver);
        assert!(took <= 200, "{leaver}: {took}");
        let began = net.now;
        while net.tail().is_none() {
            net.run(20);
        }
        assert!(net.now - began <= 100, "{leaver}: {}", net.now - began);
        write(&mut net, 1);
        net.run(1_400);
        assert!(is_acknowledged(&net, 1), "{leaver}");
        let view = net.view(&net.tail().unwrap()).clone();
        assert!(view.is_voter(leaver) && !view.has(leaver), "{view:?}");
        // Started again it comes back in.
        net.down.clear();
        net.seeker(leaver, leaver, &SEEDS, View::default());
        net.run(2_000);
        assert!(net.view(leaver).has(leaver));
        assert_eq!(adopted(&mut net, 100).map(|a| a.number), Some(1));
    }
}

/// The new tail of a leave still waits for leases that its forerunner granted.
#[test]
fn a_leave_hands_over_which_leases_are_out() {
    let mut net = net();
    let enrolled = net.enroll("n1", 50);
    net.poll("n1", 51, enrolled, enrolled);
    net.run(100);
    leave(&mut net, "c:1");
    until_left(&mut net, "c:1");
    let head = net.view("b:1").head().cloned().unwrap();
    let cmd = Command::Push { base: 0, text: "x".into(), by: "t".into() };
    net.ask(&head, 60, Request::Write { key: "p".into(), cmd });
    net.run(3_000);
    assert_matches!(net.rep(60), None, "n1 may act on the blueprint of before");
    net.run(1_300);
    assert_matches!(net.rep(60), Some(Reply::Answer { .. }));
}

/// Where a spare stands ready it takes the vote of the one that leaves, with everything that one held.
#[test]
fn a_keeper_that_leaves_gives_its_vote_to_a_spare() {
    for leaver in SEEDS {
        let mut net = net();
        net.seeker("d:1#1", "d:1", &SEEDS, View::default());
        net.run(1_000);
        write(&mut net, 1);
        net.run(200);
        leave(&mut net, leaver);
        let took = until_left(&mut net, leaver);
        assert!(took <= 600, "{leaver}: {took}");
        net.run(500);
        let view = net.view(&net.tail().unwrap()).clone();
        assert!(view.has("d:1#1") && !view.is_voter(leaver) && view.machines.len() == 3, "{view:?}");
        assert_eq!(net.ks["d:1#1"].store.adopted.as_ref().map(|a| a.number), Some(1));
    }
}

/// Two leave in turn, and the third holds everything; a single holder does not leave before another has it all.
#[test]
fn the_only_holder_stays_until_another_holds_everything() {
    let mut net = net();
    write(&mut net, 1);
    net.run(200);
    leave(&mut net, "a:1");
    until_left(&mut net, "a:1");
    leave(&mut net, "b:1");
    until_left(&mut net, "b:1");
    assert_eq!(net.view("c:1").members, ["c:1"]);
    leave(&mut net, "c:1");
    net.run(500);
    assert!(!net.ks["c:1"].has_left());
    net.down.retain(|d| d != "a:1");
    net.seeker("a:1", "a:1", &SEEDS, View::default());
    until_left(&mut net, "c:1");
    assert_eq!(net.ks["a:1"].store.adopted.as_ref().map(|a| a.number), Some(1));
    assert_eq!(net.view("a:1").members, ["a:1"]);
}

/// One that leaves without a majority ends all the same, when its time is over.
#[test]
fn a_leave_without_a_majority_ends_in_time() {
    let mut net = net();
    net.down = vec!["a:1".into(), "b:1".into()];
    leave(&mut net, "c:1");
    let took = until_left(&mut net, "c:1");
    assert!((3_000..=3_200).contains(&took), "{took}");
}
