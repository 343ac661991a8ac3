//! A chain that must tolerate the loss of two disks gets more voters than the three seeds with which it starts.
mod cluster;

use assert_matches::assert_matches;
use cluster::Cluster;
use cluster::three_keepers::{SEEDS, adopted, starting, write};
use quincehatch_core::Name;
use quincehatch_store::{Answer, Reply, View};

/// Names and addresses of the keepers outside the first view.
const SPARES: [(&str, &str); 5] =
    [("d:1#1", "d:1"), ("e:1#2", "e:1"), ("f:1#3", "f:1"), ("g:1#4", "g:1"), ("h:1#5", "h:1")];

fn serving_cluster(tolerated_losses: usize) -> Cluster {
    let mut cluster = starting(tolerated_losses);
    for (name, addr) in SPARES {
        cluster.start(name, addr, &SEEDS, View::default());
    }
    cluster.run_for(10_000);
    cluster
}

fn adopt(cluster: &mut Cluster, number: u64) -> Option<Reply> {
    cluster.tail()?;
    write(cluster, number);
    cluster.run_for(2_000);
    cluster.reply_to(number)
}

/// Restarts a machine with an empty disk, as another keeper at the same address.
fn wipe(cluster: &mut Cluster, name: &Name) {
    let addr = cluster.view("a:1").addr(name).cloned().unwrap();
    cluster.keepers.remove(name);
    cluster.disks.remove(name);
    cluster.start(&format!("{addr}#w"), &addr, &SEEDS, View::default());
}

#[test]
fn spares_are_added_until_two_disks_may_be_lost_when_two_losses_are_tolerated() {
    let cluster = serving_cluster(2);
    let view = cluster.view("a:1");
    assert_eq!((view.voters.len(), view.members.len()), (5, 5), "{view:?}");
    assert!(SEEDS.iter().all(|seed| view.is_member(seed)));
}

#[test]
fn three_voters_are_enough_when_one_loss_is_tolerated() {
    assert_eq!(serving_cluster(1).view("a:1").voters.len(), 3);
}

#[test]
fn writes_go_on_when_two_of_five_are_down() {
    for down in [["a:1", "c:1"], ["b:1", "d:1#1"], ["a:1", "e:1#2"]] {
        let mut cluster = serving_cluster(2);
        cluster.down = down.map(Name::from).to_vec();
        cluster.run_for(4_500);
        let reply = adopt(&mut cluster, 7);
        assert_matches!(reply, Some(Reply::Answer { answer: Answer::Version(1), .. }), "{down:?}");
    }
}

#[test]
fn acknowledged_writes_survive_when_two_disks_are_wiped_and_the_others_restart() {
    let mut cluster = serving_cluster(2);
    assert_matches!(adopt(&mut cluster, 7), Some(Reply::Answer { .. }));
    let members = cluster.view("a:1").members.clone();
    for name in members.iter().filter(|member| *member != "a:1").take(2) {
        wipe(&mut cluster, name);
    }
    // The other keepers restart with their disks.
    let remaining: Vec<Name> = cluster.keepers.keys().filter(|name| !name.contains("#w")).cloned().collect();
    for name in remaining {
        let addr = cluster.addr(&name);
        cluster.keepers.remove(&name);
        cluster.start(&name, &addr, &SEEDS, View::default());
    }
    cluster.run_for(8_000);
    assert_eq!(adopted(&mut cluster, 20).map(|document| document.number), Some(7));
    let view = cluster.view("a:1").clone();
    assert_eq!((view.voters.len(), view.members.len()), (5, 5), "{view:?}");
    assert_matches!(adopt(&mut cluster, 8), Some(Reply::Answer { answer: Answer::Version(2), .. }));
}
