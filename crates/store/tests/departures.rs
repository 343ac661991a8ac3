//! Servers that left: who has their logs, and which of their heartbeats come late.
use quincehatch_core::{Name, PrimaryAssignment, Role, ServerRecord};
use quincehatch_store::feed::FeedEvent;
use quincehatch_store::store::{MAX_DEPARTURES, promotion_duty_key};
use quincehatch_store::{Answer, Change, Command, Entry, FeedSnapshot, FeedState, Store};

const GROUP: &str = "g";

/// A store, and a node that follows its feed from the start.
#[derive(Default)]
struct Followed {
    store: Store,
    node: FeedState,
}

fn record(server: &str, addr: &str, seq: u64) -> ServerRecord {
    ServerRecord {
        server: server.into(),
        group: GROUP.into(),
        addr: addr.into(),
        zone: "z".into(),
        slots: 5,
        draining: false,
        role: Role::Replica,
        seq,
    }
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

impl Followed {
    fn write(&mut self, command: Command) -> Answer {
        let number = self.store.last_change + 1;
        let entry = Entry { number, key: format!("{number}").into(), command };
        let applied = self.store.apply_with_event(&entry).unwrap();
        assert!(self.node.apply(&Change { number, event: applied.event }));
        assert_eq!(self.node.primaries, self.store.primaries, "a node knows the voters as the store does");
        assert_eq!(self.node.servers, self.store.servers);
        applied.answer
    }

    fn register(&mut self, record: ServerRecord) {
        assert_eq!(self.write(Command::RegisterServer { at: record }), Answer::Done);
    }

    fn deregister(&mut self, server: &str) {
        assert_eq!(self.write(Command::DeregisterServer { server: server.into() }), Answer::Done);
    }

    /// Closes the primary `demoted`, as a promotion planned with these voters does, then assigns `server`.
    fn assign(&mut self, server: &str, demoted: Option<&str>, voters: &[&str]) {
        let command = Command::AcquireFence { duty: promotion_duty_key(GROUP), by: "n".into() };
        let Answer::Fence(fence) = self.write(command) else { panic!("no fence") };
        let primary = PrimaryAssignment {
            fence,
            server: Some(server.into()),
            demoted: demoted.map(Name::from),
            assigned_by: "n".into(),
            voters: names(voters),
            previous_voters: Vec::new(),
        };
        self.write(Command::AssignPrimary { group: GROUP.into(), primary });
        self.write(Command::DropPreviousVoters { group: GROUP.into(), fence });
    }

    fn voters(&self) -> Vec<Name> {
        self.store.primaries[GROUP].voters.clone()
    }
}

/// Three servers at addresses of their own; a is the primary.
fn group_of_three() -> Followed {
    let mut followed = Followed::default();
    for (server, addr) in [("a", "1"), ("b", "2"), ("c", "3")] {
        followed.register(record(server, addr, 10));
    }
    followed.assign("a", None, &["a", "b", "c"]);
    followed
}

/// Drawn seed 9410978: the node that knew who had whose log was restarted, and no promotion could prove its choice.
#[test]
fn a_successor_takes_its_predecessors_place_when_that_left_in_order() {
    let mut followed = group_of_three();
    followed.deregister("b");
    assert_eq!(followed.voters(), names(&["a", "b", "c"]), "nobody has its log yet");
    followed.register(record("b2", "2", 1));
    assert_eq!(followed.voters(), names(&["a", "b2", "c"]));
    followed.register(ServerRecord { draining: true, ..record("b2", "2", 2) });
    followed.register(record("b3", "2", 1));
    assert_eq!(
        followed.voters(),
        names(&["a", "b3", "c"]),
        "a record that drains was pushed out of its address"
    );
}

#[test]
fn a_server_that_was_pushed_out_without_a_word_keeps_its_place() {
    let mut followed = group_of_three();
    followed.register(record("x", "2", 1));
    assert_eq!(followed.voters(), names(&["a", "b", "c"]), "it took its log with it");
}

#[test]
fn a_promotion_planned_before_a_succession_names_the_successor() {
    let mut followed = group_of_three();
    followed.deregister("a");
    followed.deregister("b");
    followed.register(record("a2", "1", 1));
    followed.register(record("b2", "2", 1));
    followed.assign("c", Some("a"), &["a", "b", "c"]);
    assert_eq!(followed.voters(), names(&["a2", "b2", "c"]));
    assert_eq!(followed.store.primaries[GROUP].demoted, Some("a2".into()));
}

#[test]
fn the_assigned_server_itself_is_never_renamed() {
    let mut followed = group_of_three();
    followed.deregister("a");
    followed.register(record("a2", "1", 1));
    assert_eq!(followed.store.primaries[GROUP].server, Some("a".into()));
    assert_eq!(followed.voters(), names(&["a2", "b", "c"]));
}

#[test]
fn a_server_that_joined_late_and_left_counts_until_its_successor_is_known() {
    let mut followed = group_of_three();
    followed.register(record("d", "4", 1));
    assert_eq!(followed.voters(), names(&["a", "b", "c"]));
    followed.deregister("d");
    assert_eq!(followed.voters(), names(&["a", "b", "c", "d"]));
    followed.register(record("b", "2", 11));
    followed.register(record("d2", "4", 1));
    assert_eq!(followed.voters(), names(&["a", "b", "c", "d2"]));
}

/// A heartbeat that comes seconds late must not bring back a server that said it is gone.
#[test]
fn a_late_heartbeat_brings_back_no_server_that_left() {
    let mut followed = group_of_three();
    followed.deregister("b");
    for late in [9, 10, 11, 74] {
        followed.register(record("b", "2", late));
        assert!(!followed.store.servers.contains_key("b"), "heartbeat {late}");
        let command = Command::RegisterServer { at: record("b", "2", late) };
        assert!(followed.store.no_op_answer(&command).is_some(), "it needs no entry");
    }
    followed.register(record("b2", "2", 1));
    followed.register(record("b", "2", 12));
    assert!(followed.store.servers.contains_key("b2"), "its successor keeps the address");
    followed.register(record("b", "5", 75));
    assert!(followed.store.servers.contains_key("b"), "it lives, at another address");
}

#[test]
fn departures_are_bounded() {
    let mut followed = group_of_three();
    for index in 0..MAX_DEPARTURES + 5 {
        let server = format!("s{index}");
        followed.register(record(&server, "9", 1));
        followed.deregister(&server);
    }
    assert_eq!(followed.store.departures[GROUP].len(), MAX_DEPARTURES);
}

#[test]
fn a_node_that_starts_from_a_snapshot_knows_the_successors() {
    let mut followed = group_of_three();
    followed.deregister("b");
    followed.register(record("b2", "2", 1));
    let snapshot = FeedSnapshot::from_store(&followed.store, Default::default());
    let node = FeedState::from_snapshot(snapshot).unwrap();
    assert_eq!(node.primaries, followed.store.primaries);
}

#[test]
fn a_store_written_before_departures_were_kept_is_read() {
    let followed = group_of_three();
    assert!(followed.store.departures.is_empty());
    let mut bytes = borsh::to_vec(&followed.store).unwrap();
    assert_eq!(borsh::from_slice::<Store>(&bytes).unwrap(), followed.store);
    bytes.truncate(bytes.len() - size_of::<u32>());
    assert_eq!(borsh::from_slice::<Store>(&bytes).unwrap(), followed.store);
}

#[test]
fn other_groups_of_a_reused_address_follow_too() {
    let mut followed = group_of_three();
    followed.register(ServerRecord { draining: true, ..record("d", "4", 1) });
    let other = ServerRecord { group: "h".into(), ..record("x", "4", 1) };
    let number = followed.store.last_change + 1;
    let entry = Entry { number, key: "x".into(), command: Command::RegisterServer { at: other.clone() } };
    let applied = followed.store.apply_with_event(&entry).unwrap();
    let FeedEvent::VotersChanged { registered, primaries, .. } = &applied.event else {
        panic!("{:?}", applied.event)
    };
    assert_eq!(registered.as_ref(), Some(&other));
    assert_eq!(primaries[GROUP].voters, names(&["a", "b", "c", "d"]), "who has its log is not known");
}
