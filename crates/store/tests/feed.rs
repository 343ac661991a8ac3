//! The change feed from which nodes build their copy of the replicated store.
mod cluster;

use assert_matches::assert_matches;
use cluster::Cluster;
use quincehatch_core::{ChangeNumber, PrimaryAssignment, Role, ServerRecord};
use quincehatch_store::compression::PackedText;
use quincehatch_store::feed::Patch;
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{Command, FeedSnapshot, FeedState, Keeper, Reply, Request};

const MEMBERS: [&str; 3] = ["a", "b", "c"];
const NODE: &str = "n";
/// Token of the write that enrolls the node; the tokens of other requests start at 1.
const ENROLL_TOKEN: u64 = 1_000_000;
/// Number of routes in a configuration for hundreds of databases.
const MANY_ROUTES: usize = 900;

/// Returns a configuration with this number of routes, one of which has the time-out `timeout_ms`.
fn configuration(routes: usize, timeout_ms: usize) -> String {
    let route = |i: usize| {
        let (name, database) = (i * 7919 % 100_003, i * 104_729 % 1_000_003);
        let ms = if i == routes / 2 { timeout_ms } else { 1_000 };
        format!(r#"{{"name":"r-{name:x}","when":{{"db":["h{database:x}"]}},"timeout_ms":{ms}}}"#)
    };
    format!(r#"{{"rules":[{}]}}"#, (0..routes).map(route).collect::<Vec<_>>().join(","))
}

fn adopt(number: u64, text: String) -> Command {
    Command::AdoptDocument { number, source: text.clone(), text, by: "t".into() }
}

fn register(server: &str, addr: &str, seq: u64) -> Command {
    let record = ServerRecord {
        server: server.into(),
        group: "g".into(),
        addr: addr.into(),
        zone: "d".into(),
        slots: 4,
        draining: false,
        role: Role::Replica,
        seq,
    };
    Command::RegisterServer { at: record }
}

/// A chain, and a node that follows its feed.
struct Follower {
    cluster: Cluster,
    token: u64,
    enrolled: ChangeNumber,
    state: FeedState,
}

impl Follower {
    fn new() -> Self {
        let mut cluster = Cluster::new(&MEMBERS);
        cluster.run_for(8_000);
        let enrolled = cluster.enroll(NODE, ENROLL_TOKEN);
        Self { cluster, token: 0, enrolled, state: FeedState::default() }
    }

    fn write(&mut self, command: Command) {
        let head = self.cluster.tail().and_then(|tail| self.cluster.view(&tail).head().cloned()).unwrap();
        self.token += 1;
        let key = format!("k{}", self.token).into();
        self.cluster.request(&head, self.token, Request::Write { key, command });
        self.cluster.run_for(100);
    }

    fn poll(&mut self, last_change: ChangeNumber) -> Reply {
        self.token += 1;
        self.cluster.poll(NODE, self.token, self.enrolled, last_change);
        // If there is nothing new, the poll remains pending for a while.
        self.cluster.run_for(2_000);
        self.cluster.reply_to(self.token).unwrap()
    }

    /// Polls once, applies the reply, and returns the length of the reply on the wire, in bytes.
    fn follow(&mut self) -> usize {
        let reply = self.poll(self.state.last_change);
        let size = borsh::to_vec(&reply).unwrap().len();
        match reply {
            Reply::Changes { changes, .. } => {
                assert!(changes.iter().all(|change| self.state.apply(change)));
            }
            Reply::PackedSnapshot { snapshot, .. } => {
                self.state = FeedState::from_snapshot(snapshot.unpack().unwrap()).unwrap();
            }
            other => panic!("{other:?}"),
        }
        size
    }

    /// Returns the state that nodes must have, computed from the store itself.
    fn expected_state(&self) -> FeedState {
        let store = &self.cluster.keepers["c"].store;
        let json = store.configuration().map_or("", |entry| &entry.text);
        FeedState::from_snapshot(FeedSnapshot::from_store(store, PackedText::pack(json))).unwrap()
    }
}

#[test]
fn a_long_configuration_takes_few_bytes_when_little_of_it_changes() {
    let mut follower = Follower::new();
    let long = configuration(MANY_ROUTES, 1_000);
    follower.write(adopt(1, long.clone()));
    let first = follower.follow();
    assert!(first * 4 < long.len(), "{first} bytes for {}", long.len());
    follower.write(adopt(2, configuration(MANY_ROUTES, 1_500)));
    let next = follower.follow();
    assert!(next < 400, "{next} bytes for one route that changed");
    assert_eq!(follower.state, follower.expected_state());
}

#[test]
fn a_follower_has_the_state_of_the_store_after_each_change() {
    let mut follower = Follower::new();
    let primary = |fence| PrimaryAssignment { fence, server: Some("s2".into()), ..Default::default() };
    let commands = [
        register("s1", "10.0.0.1:1", 1),
        register("s2", "10.0.0.2:1", 1),
        adopt(3, configuration(20, 100)),
        register("s1", "10.0.0.1:1", 1),
        Command::AcquireFence { duty: "lead/g".into(), by: "n".into() },
        Command::AssignPrimary { group: "g".into(), primary: primary(1) },
        // Rejected: its token was never issued, and is lower than the one in use.
        Command::AssignPrimary { group: "g".into(), primary: primary(0) },
        adopt(2, configuration(5, 100)),
        // Another server takes over the address of s1.
        register("s3", "10.0.0.1:1", 1),
        adopt(4, configuration(30, 200)),
        Command::DeregisterServer { server: "s2".into() },
        adopt(9, String::new()),
    ];
    for command in commands {
        follower.write(command);
        follower.follow();
        assert_eq!(follower.state, follower.expected_state());
    }
    assert_eq!(follower.state.servers.len(), 1);
}

#[test]
fn a_new_node_gets_the_newest_configuration_alone() {
    let mut follower = Follower::new();
    for number in 1..=12 {
        follower.write(adopt(number, configuration(MANY_ROUTES, number as usize)));
    }
    // All keepers restart, so they no longer retain earlier changes for the feed.
    for (name, keeper) in std::mem::take(&mut follower.cluster.keepers) {
        let recovered = RecoveredState { view: keeper.view, store: keeper.store, ..Default::default() };
        let restarted = Keeper::new(name.clone(), follower.cluster.now, recovered);
        follower.cluster.keepers.insert(name, restarted);
    }
    follower.cluster.run_for(8_000);
    let reply = follower.poll(0);
    let size = borsh::to_vec(&reply).unwrap().len();
    assert_matches!(&reply, Reply::PackedSnapshot { snapshot, .. } if snapshot.configuration_version == 12);
    assert!(size < 40_000, "{size} bytes");
}

#[test]
fn a_patch_between_any_two_texts_gives_the_new_one() {
    let texts = [
        String::new(),
        "}".into(),
        "no brace at all".into(),
        configuration(3, 1),
        configuration(40, 1),
        configuration(40, 22),
        configuration(41, 1) + "ü}ö}",
        "}}}}".into(),
        configuration(40, 1).split('}').rev().collect::<Vec<_>>().join("}"),
    ];
    for old in &texts {
        for new in &texts {
            assert_eq!(Patch::between(old, new).apply(old).as_ref(), Some(new));
        }
    }
    let patch = Patch::between(&configuration(40, 1), &configuration(40, 22));
    assert_eq!(patch.apply(""), None, "the patch does not apply to another text");
}
