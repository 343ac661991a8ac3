//! Keepers that nobody listed: first view, lost disks, spares, and commits on two disks (§5.9).
mod kit;

use assert_matches::assert_matches;
use kit::{CATCH_UP, Net};
use quincehatch_core::{Name, Role, ServerRecord};
use quincehatch_store::{AdoptedDocument, Answer, Command, Reply, Request, View, terms};

const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

fn first() -> View {
    View::initial(&SEEDS.map(Name::from))
}

fn net() -> Net {
    let mut net = Net { now: 1_000, ..Default::default() };
    for s in SEEDS {
        net.seeker(s, s, &SEEDS, first());
    }
    net.run(6_000);
    net
}

fn adopt(number: u64) -> Command {
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    Command::AdoptDocument { number, text, source, by: "t".into() }
}

fn write(net: &mut Net, token: u64, key: &str, cmd: Command) {
    let head = net.tail().and_then(|t| net.view(&t).head().cloned()).unwrap();
    net.ask(&head, token, Request::Write { key: key.into(), command: cmd });
}

fn adopted(net: &mut Net, token: u64) -> Option<AdoptedDocument> {
    let tail = net.tail().unwrap();
    net.ask(&tail, token, Request::Adopted);
    assert_matches!(net.rep(token), Some(Reply::Adopted { adopted }) => adopted)
}

#[test]
fn all_seeds_write_the_same_first_view_without_a_word() {
    let v = first();
    let other = View::initial(&["c:1", "a:1", "b:1", "a:1"].map(Name::from));
    assert_eq!(v, other);
    assert_eq!((v.version, v.members.len(), v.voters.len()), (1, 3, 3));
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(100);
    assert_matches!(net.rep(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_eq!(adopted(&mut net, 2).map(|a| a.number), Some(7));
}

#[test]
fn a_wiped_machine_takes_its_own_place_under_a_fresh_name() {
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(100);
    net.ks.remove("b:1");
    net.seeker("b:1#f", "b:1", &SEEDS, View::default());
    net.run(4_500);
    let v = net.view("a:1").clone();
    assert!(v.is_voter("b:1#f") && !v.is_voter("b:1") && v.is_member("b:1#f"), "{v:?}");
    assert_eq!(v.voters.len(), 3);
    // It holds all, and counts: another may go now.
    assert_eq!(net.ks["b:1#f"].store.adopted, net.ks["a:1"].store.adopted);
    net.down = vec!["a:1".into()];
    net.run(4_000);
    assert_eq!(adopted(&mut net, 2).map(|a| a.number), Some(7));
    write(&mut net, 3, "k2", adopt(8));
    net.run(4_500);
    assert_matches!(net.rep(3), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}

#[test]
fn a_wiped_machine_never_votes_under_its_old_name() {
    let mut net = net();
    // Only a is left of those who remember: no majority, whatever the wiped ones answer.
    net.down = vec!["b:1".into(), "c:1".into()];
    net.seeker("b:1#f", "b:1", &SEEDS, View::default());
    net.seeker("c:1#f", "c:1", &SEEDS, View::default());
    net.run(20_000);
    assert_eq!(net.tail(), None);
    assert_eq!(net.view("a:1").voters, first().voters);
}

#[test]
fn a_spare_is_taken_in_only_for_one_that_was_silent_for_long() {
    let mut net = net();
    net.seeker("d:1#s", "d:1", &SEEDS, View::default());
    net.run(12_000);
    assert_eq!(net.view("d:1#s").voters, first().voters, "it knows the view, and stays outside");
    net.down = vec!["c:1".into()];
    let silence = terms::replace_after(CATCH_UP);
    net.run(silence - 20);
    assert!(!net.view("a:1").is_voter("d:1#s"), "too soon");
    net.run(CATCH_UP - silence);
    let v = net.view("a:1").clone();
    assert!(v.is_member("d:1#s") && !v.is_voter("c:1"), "{v:?}");
    // The one that was silent comes back with its disk: it learns that it is outside, and stays there.
    net.down.clear();
    net.run(6_000);
    assert_eq!(net.view("c:1").voters, net.view("a:1").voters);
    assert!(net.tail().is_some());
}

#[test]
fn a_keeper_that_stood_still_does_not_give_up_the_others() {
    let mut net = net();
    net.seeker("d:1#s", "d:1", &SEEDS, View::default());
    net.run(2_000);
    net.down = SEEDS.map(Name::from).to_vec();
    net.run(9_000);
    net.down.clear();
    net.run(5_000);
    assert_eq!(net.view("a:1").voters, first().voters);
    assert!(net.tail().is_some());
}

#[test]
fn a_replaced_machine_at_another_address_takes_the_lost_ones_place() {
    let mut net = net();
    net.ks.remove("a:1");
    net.at.remove("a:1");
    net.seeker("e:1#n", "e:1", &["b:1", "c:1", "e:1"], View::default());
    net.run(14_000);
    let v = net.view("b:1").clone();
    assert!(v.is_member("e:1#n") && !v.is_voter("a:1"), "{v:?}");
    assert_eq!(v.voters.len(), 3);
}

#[test]
fn what_is_on_one_disk_only_is_not_committed() {
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(100);
    // b and c are deaf to the chain for a while: a may shorten it, but commits nothing alone.
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
fn a_chain_of_one_lets_another_in_and_hands_out_nothing_before() {
    let mut net = Net { now: 1_000, ..Default::default() };
    let alone = View { version: 2, members: vec!["a:1".into()], ..first() };
    // c is away; b votes and has yet to fetch what a holds.
    net.seeker("a:1", "a:1", &SEEDS, alone.clone());
    net.seeker("b:1", "b:1", &SEEDS, alone);
    net.ask("a:1", 1, Request::Write { key: "k".into(), command: adopt(7) });
    let (mut served, mut n) = (0, 0);
    while net.view("a:1").members.len() == 1 {
        net.run(20);
        n += 1;
        served += usize::from(net.ks["a:1"].is_serving());
        assert!(n < 500 && !net.ks["a:1"].can_commit());
        net.ask("a:1", 100 + n, Request::Adopted);
        assert_matches!(net.rep(100 + n), Some(Reply::Redirect { .. }));
        assert_eq!((net.ks["a:1"].committed, net.rep(1)), (0, None));
    }
    assert!(served > 0, "it held the view's lease alone");
    net.run(4_500);
    assert_eq!(net.view("a:1").members, ["a:1", "b:1"]);
    assert_matches!(net.rep(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_eq!(adopted(&mut net, 9).map(|a| a.number), Some(7));
}

#[test]
fn all_at_once_without_power_come_back_from_their_disks() {
    let mut net = net();
    write(&mut net, 1, "k", adopt(7));
    net.run(40);
    // One loses its disk, the others their power.
    net.ks.clear();
    net.wire.clear();
    net.seeker("a:1", "a:1", &SEEDS, View::default());
    net.seeker("c:1", "c:1", &SEEDS, View::default());
    net.seeker("b:1#f", "b:1", &SEEDS, View::default());
    net.run(6_000);
    assert_eq!(adopted(&mut net, 2).map(|a| a.number), Some(7));
    assert!(net.view("a:1").is_member("b:1#f"));
}

fn stand(seq: u64, leaving: bool, role: Role) -> Command {
    let (server, group, addr, district) = ("s1".into(), "g".into(), "s:1".into(), "z".into());
    Command::RegisterServer {
        at: ServerRecord { server, group, addr, zone: district, slots: 5, draining: leaving, role, seq },
    }
}

#[test]
fn a_beat_that_tells_nothing_new_or_comes_late_is_no_entry() {
    let mut net = net();
    write(&mut net, 1, "s1/1", stand(1, false, Role::Replica));
    net.run(100);
    let n = net.ks["a:1"].store.last_change;
    write(&mut net, 2, "s1/2", stand(2, false, Role::Replica));
    net.run(100);
    assert_matches!(net.rep(2), Some(Reply::Answer { answer: Answer::Done, .. }));
    assert_eq!(net.ks["a:1"].store.last_change, n);
    write(&mut net, 3, "s1/5", stand(5, true, Role::Replica));
    net.run(100);
    write(&mut net, 4, "s1/4", stand(4, false, Role::Replica));
    net.run(100);
    assert_matches!(net.rep(4), Some(Reply::Answer { answer: Answer::Done, .. }));
    assert_eq!(net.ks["a:1"].store.last_change, n + 1);
    assert!(net.ks["a:1"].store.servers["s1"].draining);
    write(&mut net, 5, "s1/gone", Command::DeregisterServer { server: "s1".into() });
    net.run(100);
    assert!(net.ks["a:1"].store.servers.is_empty());
}

#[test]
fn an_adopted_blueprint_is_acknowledged_soon_though_a_node_is_dark() {
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
    // Sent again under its key, it is answered at once.
    write(&mut net, 3, "k", adopt(7));
    net.run(20);
    assert_matches!(net.rep(3), Some(Reply::Answer { answer: Answer::Version(1), .. }));
}
