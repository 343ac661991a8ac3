//! What the tail tells nodes of the chain's entries (§5.10).
mod kit;

use assert_matches::assert_matches;
use kit::Net;
use quincehatch_core::{PrimaryAssignment, Role, ServerRecord};
use quincehatch_store::compression::PackedText;
use quincehatch_store::feed::Patch;
use quincehatch_store::{Command, FeedSnapshot, FeedState, Reply, Request};

/// A blueprint as long as those of hundreds of databases are.
fn blueprint(rules: usize, timeout: usize) -> String {
    let rule = |i: usize| {
        let (name, db) = (i * 7919 % 100_003, i * 104_729 % 1_000_003);
        let ms = if i == rules / 2 { timeout } else { 1_000 };
        format!(r#"{{"name":"r-{name:x}","when":{{"db":["h{db:x}"]}},"timeout_ms":{ms}}}"#)
    };
    format!(r#"{{"rules":[{}]}}"#, (0..rules).map(rule).collect::<Vec<_>>().join(","))
}

fn adopt(number: u64, text: String) -> Command {
    Command::AdoptDocument { number, source: text.clone(), text, by: "t".into() }
}

fn stand(server: &str, addr: &str, seq: u64) -> Command {
    let at = ServerRecord {
        server: server.into(),
        group: "g".into(),
        addr: addr.into(),
        zone: "d".into(),
        slots: 4,
        draining: false,
        role: Role::Replica,
        seq,
    };
    Command::RegisterServer { at }
}

struct Fed {
    net: Net,
    token: u64,
    enrolled: u64,
}

impl Fed {
    fn new() -> Fed {
        let mut net = Net::new(&["a", "b", "c"]);
        net.run(8_000);
        let enrolled = net.enroll("n", 1_000_000);
        Fed { net, token: 0, enrolled }
    }
    fn write(&mut self, cmd: Command) {
        let head = self.net.tail().and_then(|t| self.net.view(&t).head().cloned()).unwrap();
        self.token += 1;
        let key = format!("k{}", self.token).into();
        self.net.ask(&head, self.token, Request::Write { key, command: cmd });
        self.net.run(100);
    }
    fn poll(&mut self, have: u64) -> Reply {
        self.token += 1;
        self.net.poll("n", self.token, self.enrolled, have);
        // Where there is nothing new, the poll is held for a while.
        self.net.run(2_000);
        self.net.rep(self.token).unwrap()
    }
    fn follow(&mut self, k: &mut FeedState) -> usize {
        let rep = self.poll(k.last_change);
        let size = borsh::to_vec(&rep).unwrap().len();
        match rep {
            Reply::Changes { changes, .. } => assert!(changes.iter().all(|c| k.apply(c))),
            Reply::Snapshot { snapshot, .. } => *k = FeedState::from_snapshot(*snapshot).unwrap(),
            other => panic!("{other:?}"),
        }
        size
    }
    fn store(&self) -> FeedState {
        let s = &self.net.ks["c"].store;
        FeedState::from_snapshot(FeedSnapshot::from_store(
            s,
            PackedText::pack(s.configuration().map_or("", |k| &k.text)),
        ))
        .unwrap()
    }
}

#[test]
fn a_long_blueprint_that_changes_little_is_told_in_few_bytes() {
    let mut f = Fed::new();
    let long = blueprint(900, 1_000);
    f.write(adopt(1, long.clone()));
    let mut k = FeedState::default();
    let first = f.follow(&mut k);
    assert!(first * 4 < long.len(), "{first} bytes for {}", long.len());
    f.write(adopt(2, blueprint(900, 1_500)));
    let next = f.follow(&mut k);
    assert!(next < 400, "{next} bytes for one rule that changed");
    assert_eq!(k, f.store());
}

#[test]
fn who_follows_change_by_change_knows_what_the_store_holds() {
    let mut f = Fed::new();
    let mut k = FeedState::default();
    let lead = |fence| PrimaryAssignment { fence, server: Some("s2".into()), ..Default::default() };
    let cmds = [
        stand("s1", "10.0.0.1:1", 1),
        stand("s2", "10.0.0.2:1", 1),
        adopt(3, blueprint(20, 100)),
        stand("s1", "10.0.0.1:1", 1),
        Command::AcquireFence { duty: "lead/g".into(), by: "n".into() },
        Command::AssignPrimary { group: "g".into(), primary: lead(1) },
        // Declined: under a fence that was never taken out, and older than what is there.
        Command::AssignPrimary { group: "g".into(), primary: lead(0) },
        adopt(2, blueprint(5, 100)),
        // Another server at a known address takes it over.
        stand("s3", "10.0.0.1:1", 1),
        adopt(4, blueprint(30, 200)),
        Command::DeregisterServer { server: "s2".into() },
        adopt(9, String::new()),
    ];
    for c in cmds {
        f.write(c);
        f.follow(&mut k);
        assert_eq!(k, f.store());
    }
    assert_eq!(k.servers.len(), 1);
}

#[test]
fn a_node_that_begins_is_told_the_newest_blueprint_alone() {
    let mut f = Fed::new();
    (1..=12).for_each(|i| f.write(adopt(i, blueprint(900, i as usize))));
    // All keepers begin anew: their logs reach back, the news do not.
    for (n, k) in std::mem::take(&mut f.net.ks) {
        let found = quincehatch_store::RecoveredState { view: k.view, store: k.store, ..Default::default() };
        f.net.ks.insert(n.clone(), quincehatch_store::Keeper::new(n, f.net.now, found));
    }
    f.net.run(8_000);
    let rep = f.poll(0);
    let size = borsh::to_vec(&rep).unwrap().len();
    assert_matches!(&rep, Reply::Snapshot { snapshot, .. } if snapshot.configuration_version == 12);
    assert!(size < 40_000, "{size} bytes");
}

#[test]
fn a_patch_gives_the_new_text_of_any_two() {
    let texts = [
        String::new(),
        "}".into(),
        "no brace at all".into(),
        blueprint(3, 1),
        blueprint(40, 1),
        blueprint(40, 22),
        blueprint(41, 1) + "ü}ö}",
        "}}}}".into(),
        blueprint(40, 1).split('}').rev().collect::<Vec<_>>().join("}"),
    ];
    for old in &texts {
        for new in &texts {
            assert_eq!(Patch::between(old, new).apply(old).as_ref(), Some(new));
        }
    }
    let p = Patch::between(&blueprint(40, 1), &blueprint(40, 22));
    assert_eq!(p.apply(""), None, "a patch of another text is none");
}
