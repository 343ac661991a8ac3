//! A cluster of three keepers that discover each other, and operations on it.
use super::{Cluster, START};
use assert_matches::assert_matches;
use quincehatch_core::{Millis, Name};
use quincehatch_store::{AdoptedDocument, Answer, Command, Input, Reply, Request, View};

pub const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

/// Returns the first view of a chain of the seeds.
pub fn first_view() -> View {
    View::initial(&SEEDS.map(Name::from))
}

/// Starts three keepers, each with the first view.
pub fn starting(tolerated_losses: usize) -> Cluster {
    let mut cluster = Cluster { now: START, tolerated_losses: Some(tolerated_losses), ..Default::default() };
    for seed in SEEDS {
        cluster.start(seed, seed, &SEEDS, first_view());
    }
    cluster
}

/// Starts three keepers and runs them until they serve.
pub fn serving_cluster() -> Cluster {
    let mut cluster = starting(1);
    cluster.run_for(6_000);
    cluster
}

/// Returns the command that adopts a document with this number.
pub fn adopt(number: u64) -> Command {
    let (text, source) = (format!("text {number}"), format!("source {number}"));
    Command::AdoptDocument { number, text, source, by: "t".into() }
}

/// Sends the document with this number to the head. The token of the request is the same number.
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

/// Reads the document in force from the tail.
pub fn adopted(cluster: &mut Cluster, token: u64) -> Option<AdoptedDocument> {
    let tail = cluster.tail()?;
    cluster.request(&tail, token, Request::ReadDocument);
    assert_matches!(cluster.reply_to(token), Some(Reply::Document { document }) => document)
}

/// Stops the keeper `lost` for good and, after the time `after`, starts the keeper `name` with an empty disk.
pub fn replace(cluster: &mut Cluster, lost: &str, name: &str, after: Millis) {
    cluster.down.push(lost.into());
    cluster.run_for(after);
    let addr = name.split('#').next().unwrap();
    cluster.start(name, addr, &SEEDS, View::default());
}

/// Time within which a keeper must leave the chain, in milliseconds.
pub const LEAVE_TIMEOUT: Millis = 4_500;

pub fn leave(cluster: &mut Cluster, name: &str) {
    cluster.step(name, Input::Leave { within: LEAVE_TIMEOUT });
}

/// Runs until the keeper has left the chain, stops it, and returns how long that took.
pub fn run_until_left(cluster: &mut Cluster, name: &str) -> Millis {
    let started_at = cluster.now;
    while !cluster.keepers[name].is_ready_to_stop() {
        cluster.run_for(20);
        assert!(cluster.now < started_at + LEAVE_TIMEOUT + 500, "{name} does not leave the chain");
    }
    cluster.run_for(100);
    cluster.down.push(name.into());
    cluster.now - started_at
}
