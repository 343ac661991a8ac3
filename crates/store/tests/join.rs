//! Keepers that find one another: first view, lost disks, spares, and the fewest replicas that commit.
mod kit;

use assert_matches::assert_matches;
use kit::fleet::{SEEDS, adopt, adopted, first_view, net};
use kit::{CATCH_UP, Net, START};
use quincehatch_core::{Name, Role, ServerRecord};
use quincehatch_store::{Answer, Command, Reply, Request, View, timing};

fn write(net: &mut Net, token: u64, key: &str, command: Command) {
    let head = net.head().unwrap();
    net.ask(&head, token, Request::Write { key: key.into(), command });
}

#[test]
fn all_keepers_derive_the_same_first_view_when_they_know_the_same_seeds() {
    let view = first_view();
    let other = View::initial(&["c:1", "a:1", "b:1", "a:1"].map(Name::from));
    assert_eq!(view, other);
    assert_eq!((view.version, view.members.len(), view.voters.len()), (1, 3, 3));
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(100);
    assert_matches!(net.rep(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_eq!(adopted(&mut net, 2).map(|document| document.number), Some(7));
}

#[test]
fn a_keeper_takes_its_old_place_under_a_new_name_when_its_disk_was_wiped() {
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(100);
    net.ks.remove("b:1");
    net.seeker("b:1#f", "b:1", &SEEDS, View::default());
    net.run(4_500);
    let view = net.view("a:1").clone();
    assert!(view.is_voter("b:1#f") && !view.is_voter("b:1") && view.is_member("b:1#f"), "{view:?}");
    assert_eq!(view.voters.len(), 3);
    // It holds the whole store and votes: another may be lost now.
    assert_eq!(net.ks["b:1#f"].store.adopted, net.ks["a:1"].store.adopted);
    net.down = vec!["a:1".into()];
    net.run(4_000);
    assert_eq!(adopted(&mut net, 2).map(|document| document.number), Some(7));
    write(&mut net, 3, "k2", adopt(8));
    net.run(4_500);
    assert_matches!(net.rep(3), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}

#[test]
fn a_keeper_never_votes_under_its_old_name_when_its_disk_was_wiped() {
    let mut net = net();
    // Only a still has its disk: no majority, whatever the wiped ones answer.
    net.down = vec!["b:1".into(), "c:1".into()];
    net.seeker("b:1#f", "b:1", &SEEDS, View::default());
    net.seeker("c:1#f", "c:1", &SEEDS, View::default());
    net.run(20_000);
    assert_eq!(net.tail(), None);
    assert_eq!(net.view("a:1").voters, first_view().voters);
}

#[test]
fn a_spare_replaces_a_voter_only_when_it_was_unresponsive_for_long() {
    let mut net = net();
    net.seeker("d:1#s", "d:1", &SEEDS, View::default());
    net.run(12_000);
    assert_eq!(net.view("d:1#s").voters, first_view().voters, "it knows the view, and stays outside");
    net.down = vec!["c:1".into()];
    let replace_after = timing::replace_after(CATCH_UP);
    net.run(replace_after - 20);
    assert!(!net.view("a:1").is_voter("d:1#s"), "too soon");
    net.run(CATCH_UP - replace_after);
    let view = net.view("a:1").clone();
    assert!(view.is_member("d:1#s") && !view.is_voter("c:1"), "{view:?}");
    // The lost one comes back with its disk: it learns that it is outside the view, and stays there.
    net.down.clear();
    net.run(6_000);
    assert_eq!(net.view("c:1").voters, net.view("a:1").voters);
    assert!(net.tail().is_some());
}

#[test]
fn a_keeper_does_not_replace_the_others_when_it_was_suspended_itself() {
    let mut net = net();
    net.seeker("d:1#s", "d:1", &SEEDS, View::default());
    net.run(2_000);
    net.down = SEEDS.map(Name::from).to_vec();
    net.run(9_000);
    net.down.clear();
    net.run(5_000);
    assert_eq!(net.view("a:1").voters, first_view().voters);
    assert!(net.tail().is_some());
}

#[test]
fn a_keeper_at_another_address_takes_the_place_when_a_voter_is_lost() {
    let mut net = net();
    net.ks.remove("a:1");
    net.at.remove("a:1");
    net.seeker("e:1#n", "e:1", &["b:1", "c:1", "e:1"], View::default());
    net.run(14_000);
    let view = net.view("b:1").clone();
    assert!(view.is_member("e:1#n") && !view.is_voter("a:1"), "{view:?}");
    assert_eq!(view.voters.len(), 3);
}

#[test]
fn nothing_is_committed_when_it_is_on_one_disk_only() {
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(100);
    // b and c are down for a while: a commits nothing alone.
    net.down = vec!["b:1".into(), "c:1".into()];
    net.run(1_500);
    net.ask("a:1", 2, Request::Write { key: "k2".into(), command: adopt(8) });
    net.run(6_000);
    assert!(!matches!(net.rep(2), Some(Reply::Answer { .. })), "{:?}", net.rep(2));
    assert_eq!(net.tail(), None);
    net.down.clear();
    net.run(5_000);
    write(&mut net, 3, "k2", adopt(8));
    net.run(2_000);
    assert_matches!(net.rep(3), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}

#[test]
fn a_chain_of_one_hands_out_nothing_until_another_member_has_joined() {
    let mut net = Net { now: START, ..Default::default() };
    let alone = View { version: 2, members: vec!["a:1".into()], ..first_view() };
    // c is down; b votes and has yet to fetch what a holds.
    net.seeker("a:1", "a:1", &SEEDS, alone.clone());
    net.seeker("b:1", "b:1", &SEEDS, alone);
    net.ask("a:1", 1, Request::Write { key: "k".into(), command: adopt(7) });
    let (mut served_steps, mut steps) = (0, 0);
    while net.view("a:1").members.len() == 1 {
        net.run(20);
        steps += 1;
        served_steps += usize::from(net.ks["a:1"].is_serving());
        assert!(steps < 500 && !net.ks["a:1"].can_commit());
        net.ask("a:1", 100 + steps, Request::ReadDocument);
        assert_matches!(net.rep(100 + steps), Some(Reply::Redirect { .. }));
        assert_eq!((net.ks["a:1"].committed, net.rep(1)), (0, None));
    }
    assert!(served_steps > 0, "it held the view lease alone");
    net.run(4_500);
    assert_eq!(net.view("a:1").members, ["a:1", "b:1"]);
    assert_matches!(net.rep(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_eq!(adopted(&mut net, 9).map(|document| document.number), Some(7));
}

#[test]
fn acknowledged_writes_survive_when_all_keepers_restart_at_once() {
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(40);
    // One loses its disk, the others only restart.
    net.ks.clear();
    net.wire.clear();
    net.seeker("a:1", "a:1", &SEEDS, View::default());
    net.seeker("c:1", "c:1", &SEEDS, View::default());
    net.seeker("b:1#f", "b:1", &SEEDS, View::default());
    net.run(6_000);
    assert_eq!(adopted(&mut net, 2).map(|document| document.number), Some(7));
    assert!(net.view("a:1").is_member("b:1#f"));
}

fn register(seq: u64, draining: bool) -> Command {
    let record = ServerRecord {
        server: "s1".into(),
        group: "g".into(),
        addr: "s:1".into(),
        zone: "z".into(),
        slots: 5,
        draining,
        role: Role::Replica,
        seq,
    };
    Command::RegisterServer { at: record }
}

#[test]
fn no_entry_is_appended_when_a_server_record_is_unchanged_or_outdated() {
    let mut net = net();
    write(&mut net, 1, "s1/1", register(1, false));
    net.run(100);
    let entries = net.ks["a:1"].store.last_change;
    write(&mut net, 2, "s1/2", register(2, false));
    net.run(100);
    assert_matches!(net.rep(2), Some(Reply::Answer { answer: Answer::Done, .. }));
    assert_eq!(net.ks["a:1"].store.last_change, entries);
    write(&mut net, 3, "s1/5", register(5, true));
    net.run(100);
    write(&mut net, 4, "s1/4", register(4, false));
    net.run(100);
    assert_matches!(net.rep(4), Some(Reply::Answer { answer: Answer::Done, .. }));
    assert_eq!(net.ks["a:1"].store.last_change, entries + 1);
    assert!(net.ks["a:1"].store.servers["s1"].draining);
    write(&mut net, 5, "s1/gone", Command::DeregisterServer { server: "s1".into() });
    net.run(100);
    assert!(net.ks["a:1"].store.servers.is_empty());
}

#[test]
fn an_adopted_document_is_acknowledged_soon_when_a_node_is_unresponsive() {
    let mut net = net();
    let enrolled = net.enroll("n1", 1);
    net.poll("n1", 9, enrolled, enrolled);
    net.run(100);
    let began = net.now;
    write(&mut net, 2, "k", adopt(7));
    while net.rep(2).is_none() {
        net.run(20);
    }
    assert!((1_200..1_400).contains(&(net.now - began)), "{}", net.now - began);
    // Repeated with the same key, it is answered at once.
    write(&mut net, 3, "k", adopt(7));
    net.run(20);
    assert_matches!(net.rep(3), Some(Reply::Answer { answer: Answer::Version(1), .. }));
}
