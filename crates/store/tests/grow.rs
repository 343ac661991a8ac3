//! A chain that is to tolerate the loss of two disks has more voters than the three seeds it starts with.
mod kit;

use assert_matches::assert_matches;
use kit::Net;
use kit::fleet::{SEEDS, adopted, starting, write};
use quincehatch_core::Name;
use quincehatch_store::{Answer, Reply, View};

/// Keepers outside the first view: the name and the address of each.
const SPARES: [(&str, &str); 5] =
    [("d:1#1", "d:1"), ("e:1#2", "e:1"), ("f:1#3", "f:1"), ("g:1#4", "g:1"), ("h:1#5", "h:1")];

fn net(tolerated_losses: usize) -> Net {
    let mut net = starting(tolerated_losses);
    for (name, addr) in SPARES {
        net.seeker(name, addr, &SEEDS, View::default());
    }
    net.run(10_000);
    net
}

fn adopt(net: &mut Net, number: u64) -> Option<Reply> {
    net.tail()?;
    write(net, number);
    net.run(2_000);
    net.rep(number)
}

/// The machine restarts with an empty disk: as another keeper at the same address.
fn wipe(net: &mut Net, name: &Name) {
    let addr = net.view("a:1").addr(name).cloned().unwrap();
    net.ks.remove(name);
    net.disks.remove(name);
    net.seeker(&format!("{addr}#w"), &addr, &SEEDS, View::default());
}

#[test]
fn spares_are_added_until_two_disks_may_be_lost_when_two_losses_are_tolerated() {
    let net = net(2);
    let view = net.view("a:1");
    assert_eq!((view.voters.len(), view.members.len()), (5, 5), "{view:?}");
    assert!(SEEDS.iter().all(|seed| view.is_member(seed)));
}

#[test]
fn three_voters_are_enough_when_one_loss_is_tolerated() {
    assert_eq!(net(1).view("a:1").voters.len(), 3);
}

#[test]
fn writes_go_on_when_two_of_five_are_down() {
    for down in [["a:1", "c:1"], ["b:1", "d:1#1"], ["a:1", "e:1#2"]] {
        let mut net = net(2);
        net.down = down.map(Name::from).to_vec();
        net.run(4_500);
        let reply = adopt(&mut net, 7);
        assert_matches!(reply, Some(Reply::Answer { answer: Answer::Version(1), .. }), "{down:?}");
    }
}

#[test]
fn acknowledged_writes_survive_when_two_disks_are_wiped_and_the_others_restart() {
    let mut net = net(2);
    assert_matches!(adopt(&mut net, 7), Some(Reply::Answer { .. }));
    let members = net.view("a:1").members.clone();
    for name in members.iter().filter(|member| *member != "a:1").take(2) {
        wipe(&mut net, name);
    }
    // The others restart from their disks.
    let others: Vec<Name> = net.ks.keys().filter(|name| !name.contains("#w")).cloned().collect();
    for name in others {
        let addr = net.addr(&name);
        net.ks.remove(&name);
        net.seeker(&name, &addr, &SEEDS, View::default());
    }
    net.run(8_000);
    assert_eq!(adopted(&mut net, 20).map(|document| document.number), Some(7));
    let view = net.view("a:1").clone();
    assert_eq!((view.voters.len(), view.members.len()), (5, 5), "{view:?}");
    assert_matches!(adopt(&mut net, 8), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}
