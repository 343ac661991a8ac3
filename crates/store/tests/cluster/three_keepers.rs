//! Three keepers that find their places by themselves, and what may happen to them.
use super::{Cluster, START};
use assert_matches::assert_matches;
use quincehatch_core::{Millis, Name};
use quincehatch_store::{AdoptedDocument, Answer, Command, Input, Reply, Request, View};

pub const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

/// The first view of a chain of the seeds.
pub fn first_view() -> View {
    View::initial(&SEEDS.map(Name::from))
}

/// Three keepers that have just started, each with the first view.
pub fn starting(tolerated_losses: usize) -> Cluster {
    let mut cluster = Cluster { now: START, tolerated_losses: Some(tolerated_losses), ..Default::default() };
    for seed in SEEDS {
        cluster.start(seed, seed, &SEEDS, first_view());
    }
    cluster
}

/// Three keepers that serve.
pub fn serving_cluster() -> Cluster {
    let mut cluster = starting(1);
    cluster.run_for(6_000);
    cluster
}

/// The operator's document with that number.
pub fn adopt(number: u64) -> Command {
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    Command::AdoptDocument { number, text, source, by: "t".into() }
}

/// Sends the document with that number to the head; the number is the token too.
pub fn write(cluster: &mut Cluster, number: u64) {
    let head = cluster.head().unwrap();
    cluster.request(
        &head,
        number,
        Request::Write { key: format!("k{number}").into(), command: adopt(number) },
    );
}

pub fn is_acknowledged(cluster: &Cluster, number: u64) -> bool {
    matches!(cluster.reply_to(number), Some(Reply::Answer { answer: Answer::Version(_), .. }))
}

/// The document in force, as the tail reads it.
pub fn adopted(cluster: &mut Cluster, token: u64) -> Option<AdoptedDocument> {
    let tail = cluster.tail()?;
    cluster.request(&tail, token, Request::ReadDocument);
    assert_matches!(cluster.reply_to(token), Some(Reply::Document { document }) => document)
}

/// A machine is lost for good; `after` that time an empty one starts as the keeper `name`.
pub fn replace(cluster: &mut Cluster, lost: &str, name: &str, after: Millis) {
    cluster.down.push(lost.into());
    cluster.run_for(after);
    let addr = name.split('#').next().unwrap();
    cluster.start(name, addr, &SEEDS, View::default());
}

/// Time in which a keeper has left.
pub const LEAVE_WITHIN: Millis = 4_500;

pub fn leave(cluster: &mut Cluster, name: &str) {
    cluster.step(name, Input::Leave { within: LEAVE_WITHIN });
}

/// Runs until the leaving keeper may end, and ends it; how long that took.
pub fn until_left(cluster: &mut Cluster, name: &str) -> Millis {
    let began = cluster.now;
    while !cluster.keepers[name].has_left() {
        cluster.run_for(20);
        assert!(cluster.now < began + LEAVE_WITHIN + 500, "{name} does not end");
    }
    cluster.run_for(100);
    cluster.down.push(name.into());
    cluster.now - began
}
