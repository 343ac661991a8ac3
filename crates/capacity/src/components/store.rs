//! The replicated store of a cluster that is in service.
use crate::samples::{SERVERS_PER_GROUP, configuration_text, group_name, node_name, server_record};
use quincehatch_core::{FencingToken, PrimaryAssignment};
use quincehatch_store::store::{MAX_ANSWERED_WRITES, promotion_role_key};
use quincehatch_store::{Answer, Change, Command, Entry, Store};

/// Returns a store with `adopted` configurations of `groups` databases, and with three servers for each database.
pub fn populated_store(groups: usize, adopted: u64) -> Store {
    let mut store = Store::default();
    for index in 0..groups * SERVERS_PER_GROUP {
        apply(&mut store, format!("beat/{index}/1"), Command::RegisterServer { at: server_record(index, 1) });
    }
    for group in 0..groups {
        assign_primary(&mut store, group);
    }
    for number in 1..=adopted {
        apply(&mut store, format!("adopt/{number}/{number:016x}"), adoption(groups, number));
    }
    // The store has the maximum number of answered writes.
    for seq in 2..MAX_ANSWERED_WRITES as u64 + 2 {
        apply(
            &mut store,
            format!("beat/s0000-0/{seq}"),
            Command::RegisterServer { at: server_record(0, seq) },
        );
    }
    store
}

fn apply(store: &mut Store, key: String, command: Command) -> Option<Answer> {
    store.apply(&Entry { number: store.last_change + 1, key: key.into(), command })
}

fn assign_primary(store: &mut Store, group: usize) {
    let name = group_name(group);
    let node = node_name(1);
    let acquire = Command::AcquireFence { duty: promotion_role_key(&name), by: node.clone() };
    let Some(Answer::Fence(fence)) = apply(store, format!("f{group}"), acquire) else {
        return;
    };
    let primary = PrimaryAssignment { assigned_by: node, ..first_assignment(group, fence) };
    apply(store, format!("l{group}"), Command::AssignPrimary { group: name, primary });
}

fn first_assignment(group: usize, fence: FencingToken) -> PrimaryAssignment {
    let first = group * SERVERS_PER_GROUP;
    let voters: Vec<_> =
        (first..first + SERVERS_PER_GROUP).map(|index| server_record(index, 1).server).collect();
    PrimaryAssignment { fence, server: voters.first().cloned(), voters, ..Default::default() }
}

/// Returns the command that adopts revision `number` of the sample configuration.
pub(crate) fn adoption(groups: usize, number: u64) -> Command {
    Command::AdoptDocument {
        number,
        text: configuration_text(groups, number),
        source: configuration_text(groups, number),
        by: "operator".into(),
    }
}

/// Adopts a configuration in which one route changed. Returns the change as the tail sends it to nodes.
pub(super) fn adopt(store: &mut Store, groups: usize, number: u64) -> Change {
    let entry = Entry {
        number: store.last_change + 1,
        key: format!("adopt/{number}").into(),
        command: adoption(groups, number),
    };
    let applied = store.apply_with_event(&entry).expect("it is the next entry");
    Change { number: entry.number, event: applied.event }
}
