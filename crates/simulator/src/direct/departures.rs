//! Servers that deregister without draining first, or drain and end without deregistering, while their last heartbeats
//! are delayed.
use super::operator::{DRAIN_TIME, WRITE_TIMEOUT, millis};
use super::operator::{deregister_server, drain_start, operator_client, stop_and_replace};
use super::schedule::RandomGaps;
use super::server_group::GroupState;
use super::setup::{DirectFleet, GROUP, SERVERS};
use quincehatch_core::{Millis, ServerRecord};
use quincehatch_runtime::seam;
use quincehatch_store::Command;
use std::sync::Arc;

/// Shortest time between the starts of two departures, and the range of the random addition to it.
const MIN_DEPARTURE_GAP: Millis = 2_000;
const DEPARTURE_GAP_SPREAD: Millis = 8_000;
/// Departures start within this part of the period of faults, so that they end before the final checks.
const DEPARTURE_PERIOD: Millis = 20_000;
/// A server that deregistered serves for at most this much longer than [`DRAIN_TIME`].
const EXTRA_SERVICE_TIME: Millis = 4_000;
/// Largest delay of a heartbeat.
const MAX_HEARTBEAT_DELAY: Millis = 5_000;
/// Largest number of heartbeats that a server sent without a change since its last registration.
const MAX_UNRECORDED_HEARTBEATS: u64 = 400;
/// Largest number of heartbeats that are in flight when a server leaves.
const MAX_DELAYED_HEARTBEATS: u64 = 3;
/// How often the replacement's registration is checked for.
const REGISTRATION_POLL: Millis = 100;

/// A way to leave.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// The server deregisters, serves on and ends.
    DeregisterFirst,
    /// The server drains and ends. Its deregistration is lost.
    WithoutDeregistration,
}

impl GroupState {
    /// Whether any server is leaving.
    pub(super) fn is_any_leaving(&self) -> bool {
        self.servers.iter().any(|server| server.draining || server.is_leaving)
    }

    /// Returns a heartbeat that a server sends now, after `unrecorded` heartbeats that changed nothing.
    fn next_heartbeat(&mut self, index: usize, unrecorded: u64) -> ServerRecord {
        self.servers[index].registration_sequence += unrecorded;
        let registration = self.servers[index].registration();
        self.next_record(index, &registration)
    }
}

/// Sends heartbeats with the number of `last` and the numbers before it, each after a delay.
fn send_delayed_heartbeats(fleet: &Arc<DirectFleet>, last: &ServerRecord) {
    let count = fastrand::u64(1..=MAX_DELAYED_HEARTBEATS).min(last.seq);
    for number in 0..count {
        let at = ServerRecord { seq: last.seq - number, ..last.clone() };
        let client = operator_client(fleet);
        seam::spawn(async move {
            seam::sleep(millis(fastrand::u64(1..MAX_HEARTBEAT_DELAY))).await;
            let key = format!("beat/{}/{}", at.server, at.seq);
            let _ = client.write(&key, Command::RegisterServer { at }, WRITE_TIMEOUT).await;
        });
    }
}

async fn deregister_first(fleet: Arc<DirectFleet>, index: usize) {
    let unrecorded = fastrand::u64(0..MAX_UNRECORDED_HEARTBEATS);
    let last = fleet.group.with(|state| {
        state.servers[index].is_leaving = true;
        state.next_heartbeat(index, unrecorded)
    });
    while !deregister_server(&fleet, &last.server).await {}
    let acknowledged_at = fleet.simulation.now();
    fleet.group.with(|state| state.servers[index].drain_acknowledged_at = Some(acknowledged_at));
    send_delayed_heartbeats(&fleet, &last);
    seam::sleep(millis(DRAIN_TIME + fastrand::u64(0..EXTRA_SERVICE_TIME))).await;
    stop_and_replace(&fleet, index, &last.server).await;
}

async fn leave_without_deregistration(fleet: Arc<DirectFleet>, index: usize) {
    fleet.group.with(|state| state.servers[index].draining = true);
    let stop_at = drain_start(&fleet, index).await + DRAIN_TIME;
    seam::sleep(millis(stop_at.saturating_sub(fleet.simulation.now()).max(1))).await;
    let unrecorded = fastrand::u64(0..MAX_UNRECORDED_HEARTBEATS);
    let last = fleet.group.with(|state| state.next_heartbeat(index, unrecorded));
    stop_and_replace(&fleet, index, &last.server).await;
    while fleet.group.with(|state| state.servers[index].registered_as.is_none()) {
        seam::sleep(millis(REGISTRATION_POLL)).await;
    }
    send_delayed_heartbeats(&fleet, &last);
}

impl DirectFleet {
    fn begin_departure(self: &Arc<Self>) {
        let (index, departure) = {
            let mut state = self.simulation.lock();
            let departures = [Departure::DeregisterFirst, Departure::WithoutDeregistration];
            let departure = state.rng.pick(&departures).copied().unwrap_or(Departure::DeregisterFirst);
            (state.rng.below(SERVERS as u64) as usize, departure)
        };
        let now = self.simulation.now();
        let pid = self.group.with(|state| state.servers[index].pid);
        let may_leave = self.simulation.lock().is_running(pid)
            && self
                .group
                .with(|state| !state.is_any_leaving() && state.servers[index].registered_as.is_some());
        if !may_leave {
            return;
        }
        let line = format!("{now} departure {departure:?} of server {index} of {GROUP}");
        self.group.with(|state| state.ledger.event_log.push(line));
        let fleet = self.clone();
        self.simulation.run_in(self.clients, || match departure {
            Departure::WithoutDeregistration => seam::spawn(leave_without_deregistration(fleet, index)),
            Departure::DeregisterFirst => seam::spawn(deregister_first(fleet, index)),
        });
    }

    /// Schedules random departures from `from` on.
    pub(super) fn schedule_departures(self: &Arc<Self>, from: Millis) {
        let gaps = RandomGaps { shortest: MIN_DEPARTURE_GAP, spread: DEPARTURE_GAP_SPREAD };
        self.schedule_repeatedly(from, DEPARTURE_PERIOD, gaps, |fleet| fleet.begin_departure());
    }

    /// Checks that each node lists exactly the running servers, once all faults are long healed.
    pub(super) fn check_listed_servers(&self) {
        let now = self.simulation.now();
        let expected: Vec<_> = self.group.with(|state| {
            let mut names: Vec<_> = state.servers.iter().map(|server| server.name.clone()).collect();
            names.sort();
            names
        });
        for node in &self.nodes {
            let Some(running) = node.running() else { continue };
            let listed: Vec<_> = running.node.feed_state.lock().unwrap().servers.keys().cloned().collect();
            if listed != expected {
                let violation = format!("LISTED at {now}: {} lists {listed:?}, not {expected:?}", node.name);
                self.group.with(|state| state.ledger.record_violation(violation));
            }
        }
    }
}
