//! Load of hundreds of nodes on the tail of the chain.
//!
//! Configurations remained unconfirmed while a fleet of 300 nodes started, and again after a power loss. Each change of
//! the store completed the polls of all nodes, and each node polled again at once: 300 nodes and 360 servers that start
//! together make about 900 changes and so 270,000 answers, which delayed the tail's replication messages.
mod cluster;

use cluster::Cluster;
use quincehatch_core::{ChangeNumber, Millis, Name, PrimaryAssignment, Role, ServerRecord};
use quincehatch_runtime::rng::Rng;
use quincehatch_store::{Command, Reply, Request};
use std::collections::BTreeMap;

const NODES: usize = 300;
/// Time between a reply and the next poll of the node.
const POLL_PAUSE: Millis = 20;
/// Tokens of polls; those of writes are below.
const FIRST_POLL: u64 = 1_000_000;
/// Maximum number of polls that the tail may answer in a second.
const MAX_ANSWERS_PER_SECOND: usize = 3_000;
/// Maximum bytes of answers in a second: the capacity of a link of 100 Mbit/s.
const MAX_BYTES_PER_SECOND: usize = 12_500_000;

/// The newest change that a node has applied, and the entry that enrolled it.
struct Follower {
    enrolled: ChangeNumber,
    last_change: ChangeNumber,
}

struct Fleet {
    cluster: Cluster,
    followers: BTreeMap<Name, Follower>,
    /// The node that sent each pending poll, by token.
    polls: BTreeMap<u64, Name>,
    next_poll: u64,
    next_write: u64,
    /// Number of answers to polls.
    answers: usize,
    /// Total bytes of the answers to polls.
    bytes: usize,
}

impl Fleet {
    /// Starts a chain and enrolls the nodes, which have not polled yet.
    fn new() -> Self {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        cluster.run_for(8_000);
        let mut fleet = Self {
            cluster,
            followers: BTreeMap::new(),
            polls: BTreeMap::new(),
            next_poll: FIRST_POLL,
            next_write: 1,
            answers: 0,
            bytes: 0,
        };
        let first = fleet.last_change() + 1;
        for number in first..first + NODES as u64 {
            let node = Name::from(format!("n{number}"));
            fleet.write(Command::EnrollNode { node: node.clone(), incarnation: number });
            fleet.followers.insert(node, Follower { enrolled: number, last_change: 0 });
        }
        fleet.cluster.run_for(200);
        fleet
    }

    fn last_change(&self) -> ChangeNumber {
        self.cluster.keepers["a"].store.last_change
    }

    fn write(&mut self, command: Command) -> u64 {
        let token = self.next_write;
        self.next_write += 1;
        let head = self.cluster.head().expect("the chain serves");
        self.cluster.request(&head, token, Request::Write { key: format!("k{token}").into(), command });
        token
    }

    fn register_server(&mut self, number: u64) {
        let record = ServerRecord {
            server: format!("s{number}").into(),
            group: format!("g{}", number / 3).into(),
            addr: format!("10.0.0.1:{number}").into(),
            zone: "z".into(),
            slots: 4,
            draining: false,
            role: Role::Replica,
            seq: 1,
        };
        self.write(Command::RegisterServer { at: record });
    }

    fn poll_node(&mut self, node: &Name) {
        let Follower { enrolled, last_change } = self.followers[node];
        self.polls.insert(self.next_poll, node.clone());
        self.cluster.poll(node, self.next_poll, enrolled, last_change);
        self.next_poll += 1;
    }

    fn poll_all(&mut self) {
        let nodes: Vec<Name> = self.followers.keys().cloned().collect();
        nodes.iter().for_each(|node| self.poll_node(node));
    }

    /// Advances virtual time; each node polls again after its poll was answered.
    fn run_for(&mut self, time: Millis) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.cluster.run_for(POLL_PAUSE);
            for sent in std::mem::take(&mut self.cluster.replies) {
                self.handle_reply(sent.token, sent.reply);
            }
        }
    }

    fn handle_reply(&mut self, token: u64, reply: Reply) {
        let Some(node) = self.polls.remove(&token) else {
            self.cluster.replies.push(cluster::SentReply { token, reply });
            return;
        };
        self.answers += 1;
        self.bytes += borsh::to_vec(&reply).unwrap().len();
        let follower = self.followers.get_mut(&node).unwrap();
        match reply {
            Reply::Changes { changes, .. } => {
                follower.last_change = changes.last().map_or(follower.last_change, |change| change.number);
            }
            Reply::PackedSnapshot { snapshot, .. } => follower.last_change = snapshot.last_change,
            // The poll was pending for too long because the answer exceeds the budget.
            Reply::Redirect { .. } => {}
            other => panic!("{other:?}"),
        }
        self.poll_node(&node);
    }
}

#[test]
fn the_tail_answers_a_bounded_number_of_polls_while_many_servers_register() {
    let mut fleet = Fleet::new();
    fleet.poll_all();
    fleet.run_for(1_000);
    fleet.answers = 0;
    const SECONDS: usize = 4;
    for number in 0..SECONDS as u64 * 1_000 / POLL_PAUSE {
        fleet.register_server(number);
        fleet.run_for(POLL_PAUSE);
    }
    assert!(fleet.answers <= SECONDS * MAX_ANSWERS_PER_SECOND, "{} answers", fleet.answers);
    // The limit leaves no node behind.
    fleet.run_for(1_000);
    let last_change = fleet.last_change();
    let behind = fleet.followers.values().filter(|follower| follower.last_change < last_change).count();
    assert_eq!(behind, 0);
}

/// A configuration with 1,680 more routes saturated the tail's link for seconds: its peers received no messages and
/// considered it lost, and the next tail sent the same configuration to all nodes again.
#[test]
fn a_long_configuration_reaches_all_nodes_without_filling_the_link() {
    let mut fleet = Fleet::new();
    fleet.poll_all();
    fleet.run_for(1_000);
    let mut rng = Rng::new(7);
    let route = |rng: &mut Rng| {
        format!(r#"{{"name":"r-{:x}","when":{{"db":["{:x}"]}}}}"#, rng.below(u64::MAX), rng.below(u64::MAX))
    };
    let routes: Vec<String> = (0..2_000).map(|_| route(&mut rng)).collect();
    let text = format!(r#"{{"rules":[{}]}}"#, routes.join(","));
    fleet.write(Command::AdoptDocument { number: 5, source: text.clone(), text, by: "t".into() });
    fleet.bytes = 0;
    let mut most_in_a_second = 0;
    for _ in 0..4 {
        let before = fleet.bytes;
        fleet.run_for(1_000);
        most_in_a_second = most_in_a_second.max(fleet.bytes - before);
    }
    assert!(most_in_a_second < MAX_BYTES_PER_SECOND, "{most_in_a_second} bytes in a second");
    let last_change = fleet.last_change();
    let behind = fleet.followers.values().filter(|follower| follower.last_change < last_change).count();
    assert_eq!(behind, 0, "{} bytes", fleet.bytes);
}

#[test]
fn a_primary_is_closed_at_all_nodes_within_a_second_while_many_servers_register() {
    let mut fleet = Fleet::new();
    fleet.poll_all();
    fleet.run_for(1_000);
    let mut closed = None;
    for number in 0..100 {
        fleet.register_server(number);
        if number == 50 {
            let no_primary = PrimaryAssignment { fence: 1, ..Default::default() };
            closed = Some(fleet.write(Command::AssignPrimary { group: "g".into(), primary: no_primary }));
        }
        fleet.run_for(POLL_PAUSE);
    }
    let reply = closed.and_then(|token| fleet.cluster.reply_to(token));
    assert!(matches!(reply, Some(Reply::Answer { .. })), "{reply:?}");
}
