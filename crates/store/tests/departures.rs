//! Departed servers: the successors that have their logs, and heartbeats that arrive after the departure.
mod server_records;

use quincehatch_core::{Name, PrimaryAssignment, ServerRecord};
use quincehatch_store::feed::FeedEvent;
use quincehatch_store::store::{MAX_DEPARTURES, promotion_role_key};
use quincehatch_store::{Answer, Change, Command, Entry, FeedSnapshot, FeedState, Store};
use server_records::{GROUP, record};

/// A store, and a node that follows its feed from the first change.
#[derive(Default)]
struct Followed {
    store: Store,
    node: FeedState,
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
        assert_eq!(self.node.primaries, self.store.primaries, "the node and the store agree on the voters");
        assert_eq!(self.node.servers, self.store.servers);
        applied.answer
    }

    fn register(&mut self, record: ServerRecord) {
        assert_eq!(self.write(Command::RegisterServer { at: record }), Answer::Done);
    }

    fn deregister(&mut self, server: &str) {
        assert_eq!(self.write(Command::DeregisterServer { server: server.into() }), Answer::Done);
    }

    /// Assigns `server` as the primary in place of `demoted`, as a promotion planned with these voters does.
    fn assign(&mut self, server: &str, demoted: Option<&str>, voters: &[&str]) {
        let command = Command::AcquireFence { duty: promotion_role_key(GROUP), by: "n".into() };
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

/// Returns a group of three servers with different addresses, of which `a` is the primary.
fn group_of_three() -> Followed {
    let mut followed = Followed::default();
    for (server, addr) in [("a", "1"), ("b", "2"), ("c", "3")] {
        followed.register(record(server, addr, 10));
    }
    followed.assign("a", None, &["a", "b", "c"]);
    followed
}

/// Simulator seed 9410978: successors were known only to a node that was restarted, and after that no promotion could
/// prove that its candidate had all acknowledged commits.
#[test]
fn a_successor_replaces_its_predecessor_as_voter_after_a_graceful_shutdown() {
    let mut followed = group_of_three();
    followed.deregister("b");
    assert_eq!(followed.voters(), names(&["a", "b", "c"]), "its log has no successor yet");
    followed.register(record("b2", "2", 1));
    assert_eq!(followed.voters(), names(&["a", "b2", "c"]));
    followed.register(ServerRecord { draining: true, ..record("b2", "2", 2) });
    followed.register(record("b3", "2", 1));
    assert_eq!(
        followed.voters(),
        names(&["a", "b3", "c"]),
        "the record at the address was draining, so its server shut down gracefully"
    );
}

#[test]
fn a_server_that_loses_its_address_without_draining_remains_a_voter() {
    let mut followed = group_of_three();
    followed.register(record("x", "2", 1));
    assert_eq!(followed.voters(), names(&["a", "b", "c"]), "its log stays with the server itself");
}

#[test]
fn an_assignment_that_names_departed_servers_is_stored_with_their_successors() {
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
fn the_assigned_primary_is_not_replaced_by_its_successor() {
    let mut followed = group_of_three();
    followed.deregister("a");
    followed.register(record("a2", "1", 1));
    assert_eq!(followed.store.primaries[GROUP].server, Some("a".into()));
    assert_eq!(followed.voters(), names(&["a2", "b", "c"]));
}

#[test]
fn a_server_that_joined_after_the_assignment_becomes_a_voter_when_it_departs() {
    let mut followed = group_of_three();
    followed.register(record("d", "4", 1));
    assert_eq!(followed.voters(), names(&["a", "b", "c"]));
    followed.deregister("d");
    assert_eq!(followed.voters(), names(&["a", "b", "c", "d"]));
    followed.register(record("b", "2", 11));
    followed.register(record("d2", "4", 1));
    assert_eq!(followed.voters(), names(&["a", "b", "c", "d2"]));
}

/// A heartbeat that arrives seconds late must not register a server again that has deregistered.
#[test]
fn a_delayed_heartbeat_does_not_register_a_departed_server_again() {
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
    assert!(followed.store.servers.contains_key("b"), "it is running again, at another address");
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
fn a_store_of_a_version_without_departures_or_delayed_heartbeats_is_read() {
    let followed = group_of_three();
    assert!(followed.store.departures.is_empty() && followed.store.first_delayed.is_empty());
    let mut bytes = borsh::to_vec(&followed.store).unwrap();
    assert_eq!(borsh::from_slice::<Store>(&bytes).unwrap(), followed.store);
    for _earlier_version in ["without delayed heartbeats", "without departures"] {
        bytes.truncate(bytes.len() - size_of::<u32>());
        assert_eq!(borsh::from_slice::<Store>(&bytes).unwrap(), followed.store);
    }
}

#[test]
fn departures_are_read_when_the_version_that_stored_them_had_no_delayed_heartbeats() {
    let mut followed = group_of_three();
    followed.deregister("b");
    let mut bytes = borsh::to_vec(&followed.store).unwrap();
    bytes.truncate(bytes.len() - size_of::<u32>());
    assert_eq!(borsh::from_slice::<Store>(&bytes).unwrap(), followed.store);
}

#[test]
fn a_departure_is_recorded_when_a_server_of_another_group_takes_over_the_address() {
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
    assert_eq!(primaries[GROUP].voters, names(&["a", "b", "c", "d"]), "the successor of d is not known");
}
