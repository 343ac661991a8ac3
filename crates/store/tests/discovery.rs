//! Discovery between keepers: the first view, lost disks, spare keepers, and the minimum number of replicas for a
//! commit.
mod cluster;

use assert_matches::assert_matches;
use cluster::three_keepers::{SEEDS, adopt, adopted, first_view, serving_cluster};
use cluster::{CATCH_UP_TIME, Cluster, START};
use quincehatch_core::{Name, Role, ServerRecord};
use quincehatch_store::{Answer, Command, Reply, Request, View, timing};

fn write(cluster: &mut Cluster, token: u64, key: &str, command: Command) {
    let head = cluster.head().unwrap();
    cluster.request(&head, token, Request::Write { key: key.into(), command });
}

#[test]
fn all_keepers_derive_the_same_first_view_when_they_know_the_same_seeds() {
    let view = first_view();
    let other = View::initial(&["c:1", "a:1", "b:1", "a:1"].map(Name::from));
    assert_eq!(view, other);
    assert_eq!((view.version, view.members.len(), view.voters.len()), (1, 3, 3));
    let mut cluster = serving_cluster();
    write(&mut cluster, 1, "k", adopt(7));
    cluster.run_for(100);
    assert_matches!(cluster.reply_to(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_eq!(adopted(&mut cluster, 2).map(|document| document.number), Some(7));
}

#[test]
fn a_keeper_with_a_wiped_disk_rejoins_as_a_voter_under_a_new_name() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1, "k", adopt(7));
    cluster.run_for(100);
    cluster.keepers.remove("b:1");
    cluster.start("b:1#f", "b:1", &SEEDS, View::default());
    cluster.run_for(4_500);
    let view = cluster.view("a:1").clone();
    assert!(view.is_voter("b:1#f") && !view.is_voter("b:1") && view.is_member("b:1#f"), "{view:?}");
    assert_eq!(view.voters.len(), 3);
    // It has the whole store and votes, so another keeper may be lost now.
    assert_eq!(cluster.keepers["b:1#f"].store.adopted, cluster.keepers["a:1"].store.adopted);
    cluster.down = vec!["a:1".into()];
    cluster.run_for(4_000);
    assert_eq!(adopted(&mut cluster, 2).map(|document| document.number), Some(7));
    write(&mut cluster, 3, "k2", adopt(8));
    cluster.run_for(4_500);
    assert_matches!(cluster.reply_to(3), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}

#[test]
fn a_keeper_never_votes_under_its_old_name_when_its_disk_was_wiped() {
    let mut cluster = serving_cluster();
    // Only a has its disk, so there is no majority, whatever the wiped keepers answer.
    cluster.down = vec!["b:1".into(), "c:1".into()];
    cluster.start("b:1#f", "b:1", &SEEDS, View::default());
    cluster.start("c:1#f", "c:1", &SEEDS, View::default());
    cluster.run_for(20_000);
    assert_eq!(cluster.tail(), None);
    assert_eq!(cluster.view("a:1").voters, first_view().voters);
}

#[test]
fn a_spare_replaces_a_voter_only_when_it_was_unresponsive_for_long() {
    let mut cluster = serving_cluster();
    cluster.start("d:1#s", "d:1", &SEEDS, View::default());
    cluster.run_for(12_000);
    assert_eq!(cluster.view("d:1#s").voters, first_view().voters, "it knows the view and remains outside");
    cluster.down = vec!["c:1".into()];
    let voter_replacement_delay = timing::voter_replacement_delay(CATCH_UP_TIME);
    cluster.run_for(voter_replacement_delay - 20);
    assert!(!cluster.view("a:1").is_voter("d:1#s"), "too soon");
    cluster.run_for(CATCH_UP_TIME - voter_replacement_delay);
    let view = cluster.view("a:1").clone();
    assert!(view.is_member("d:1#s") && !view.is_voter("c:1"), "{view:?}");
    // The lost keeper returns with its disk, learns that it is outside the view, and remains outside.
    cluster.down.clear();
    cluster.run_for(6_000);
    assert_eq!(cluster.view("c:1").voters, cluster.view("a:1").voters);
    assert!(cluster.tail().is_some());
}

#[test]
fn a_keeper_does_not_replace_its_peers_when_it_was_suspended_itself() {
    let mut cluster = serving_cluster();
    cluster.start("d:1#s", "d:1", &SEEDS, View::default());
    cluster.run_for(2_000);
    cluster.down = SEEDS.map(Name::from).to_vec();
    cluster.run_for(9_000);
    cluster.down.clear();
    cluster.run_for(5_000);
    assert_eq!(cluster.view("a:1").voters, first_view().voters);
    assert!(cluster.tail().is_some());
}

#[test]
fn a_keeper_at_another_address_replaces_a_lost_voter() {
    let mut cluster = serving_cluster();
    cluster.keepers.remove("a:1");
    cluster.running_at.remove("a:1");
    cluster.start("e:1#n", "e:1", &["b:1", "c:1", "e:1"], View::default());
    cluster.run_for(14_000);
    let view = cluster.view("b:1").clone();
    assert!(view.is_member("e:1#n") && !view.is_voter("a:1"), "{view:?}");
    assert_eq!(view.voters.len(), 3);
}

#[test]
fn nothing_is_committed_when_it_is_on_one_disk_only() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1, "k", adopt(7));
    cluster.run_for(100);
    // While b and c are down, a alone commits nothing.
    cluster.down = vec!["b:1".into(), "c:1".into()];
    cluster.run_for(1_500);
    cluster.request("a:1", 2, Request::Write { key: "k2".into(), command: adopt(8) });
    cluster.run_for(6_000);
    assert!(!matches!(cluster.reply_to(2), Some(Reply::Answer { .. })), "{:?}", cluster.reply_to(2));
    assert_eq!(cluster.tail(), None);
    cluster.down.clear();
    cluster.run_for(5_000);
    write(&mut cluster, 3, "k2", adopt(8));
    cluster.run_for(2_000);
    assert_matches!(cluster.reply_to(3), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}

#[test]
fn a_chain_of_one_commits_nothing_and_answers_no_reads_until_another_member_has_joined() {
    let mut cluster = Cluster { now: START, ..Default::default() };
    let alone = View { version: 2, members: vec!["a:1".into()], ..first_view() };
    // c is down; b votes but must first fetch the store from a.
    cluster.start("a:1", "a:1", &SEEDS, alone.clone());
    cluster.start("b:1", "b:1", &SEEDS, alone);
    cluster.request("a:1", 1, Request::Write { key: "k".into(), command: adopt(7) });
    let (mut served_steps, mut steps) = (0, 0);
    while cluster.view("a:1").members.len() == 1 {
        cluster.run_for(20);
        steps += 1;
        served_steps += usize::from(cluster.keepers["a:1"].is_serving());
        assert!(steps < 500 && !cluster.keepers["a:1"].can_commit());
        cluster.request("a:1", 100 + steps, Request::ReadDocument);
        assert_matches!(cluster.reply_to(100 + steps), Some(Reply::Redirect { .. }));
        assert_eq!((cluster.keepers["a:1"].committed, cluster.reply_to(1)), (0, None));
    }
    assert!(served_steps > 0, "a held the view lease as the only member");
    cluster.run_for(4_500);
    assert_eq!(cluster.view("a:1").members, ["a:1", "b:1"]);
    assert_matches!(cluster.reply_to(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_eq!(adopted(&mut cluster, 9).map(|document| document.number), Some(7));
}

#[test]
fn acknowledged_writes_survive_when_all_keepers_restart_at_once() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1, "k", adopt(7));
    cluster.run_for(40);
    // b loses its disk; a and c restart with theirs.
    cluster.keepers.clear();
    cluster.in_flight.clear();
    cluster.start("a:1", "a:1", &SEEDS, View::default());
    cluster.start("c:1", "c:1", &SEEDS, View::default());
    cluster.start("b:1#f", "b:1", &SEEDS, View::default());
    cluster.run_for(6_000);
    assert_eq!(adopted(&mut cluster, 2).map(|document| document.number), Some(7));
    assert!(cluster.view("a:1").is_member("b:1#f"));
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
    let mut cluster = serving_cluster();
    write(&mut cluster, 1, "s1/1", register(1, false));
    cluster.run_for(100);
    let entries = cluster.keepers["a:1"].store.last_change;
    write(&mut cluster, 2, "s1/2", register(2, false));
    cluster.run_for(100);
    assert_matches!(cluster.reply_to(2), Some(Reply::Answer { answer: Answer::Done, .. }));
    assert_eq!(cluster.keepers["a:1"].store.last_change, entries);
    write(&mut cluster, 3, "s1/5", register(5, true));
    cluster.run_for(100);
    write(&mut cluster, 4, "s1/4", register(4, false));
    cluster.run_for(100);
    assert_matches!(cluster.reply_to(4), Some(Reply::Answer { answer: Answer::Done, .. }));
    assert_eq!(cluster.keepers["a:1"].store.last_change, entries + 1);
    assert!(cluster.keepers["a:1"].store.servers["s1"].draining);
    write(&mut cluster, 5, "s1/gone", Command::DeregisterServer { server: "s1".into() });
    cluster.run_for(100);
    assert!(cluster.keepers["a:1"].store.servers.is_empty());
}

#[test]
fn an_adopted_document_is_acknowledged_soon_when_a_node_is_unresponsive() {
    let mut cluster = serving_cluster();
    let enrolled = cluster.enroll("n1", 1);
    cluster.poll("n1", 9, enrolled, enrolled);
    cluster.run_for(100);
    let started_at = cluster.now;
    write(&mut cluster, 2, "k", adopt(7));
    while cluster.reply_to(2).is_none() {
        cluster.run_for(20);
    }
    assert!((1_200..1_400).contains(&(cluster.now - started_at)), "{}", cluster.now - started_at);
    // A retry with the same key is answered within one tick.
    write(&mut cluster, 3, "k", adopt(7));
    cluster.run_for(20);
    assert_matches!(cluster.reply_to(3), Some(Reply::Answer { answer: Answer::Version(1), .. }));
}
