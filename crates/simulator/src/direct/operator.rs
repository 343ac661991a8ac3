//! The simulated operator and servers as writers of the replicated store: registrations of servers and versions of the
//! configuration.
use super::ledger::AcknowledgedVersion;
use super::server::{MAX_CONNECTIONS, Registration, SLOTS};
use super::server_group::GroupState;
use super::session_task::TRANSACTION_IDLE_MS;
use super::setup::{DirectFleet, GROUP};
use super::version_check::check_config_versions;
use quincehatch_core::{Millis, Name, Role, ServerRecord};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::seam;
use quincehatch_store::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Timeout of one write to the replicated store, and the pause before the write is retried.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a server waits for the acknowledgement of its drain, and how often it checks for it.
const DRAIN_ACKNOWLEDGEMENT_TIMEOUT: Millis = 10_000;
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// A draining server stops this long after the acknowledgement of its drain.
pub(super) const DRAIN_TIME: Millis = 7_600;
/// Maximum number of attempts to deregister a server.
const DEREGISTRATION_ATTEMPTS: u64 = 5;

pub(super) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn operator_client(fleet: &DirectFleet) -> StoreClient {
    StoreClient::new("operator", &fleet.keeper_addresses)
}

/// Returns a configuration with a route that is named after the configuration's number, so that the number in force can
/// be found by looking the route up.
fn configuration_text(number: u64) -> String {
    let rule = |name: &str, class: &str| {
        format!(
            "[[rules]]\nname = \"{name}\"\nclass = \"{class}\"\nplacement = \"p\"\nwhen = {{ db = [\"{name}\"] }}\n\
             timeout_ms = 1000\naim_ms = 300\nfresh_ms = 1500\n"
        )
    };
    let rules = [rule("o", "order"), rule("l", "lookup"), rule(&format!("v{number}"), "order")].concat();
    format!(
        "[[placements]]\nname = \"p\"\nselect = {{ group = [\"{GROUP}\"] }}\n{rules}\
         [[groups]]\nname = \"{GROUP}\"\nsync_replicas = 1\nlinks = {MAX_CONNECTIONS}\n\
         [holding]\ntxn_idle_ms = {TRANSACTION_IDLE_MS}\n\
         [judges]\nreturn_after_ms = 1000\ntrial_good = 1\nuser_timeout_ms = 4000\n"
    )
}

/// Adopts configurations one after the other. Each one is retried until it is acknowledged.
async fn adopt_configurations(fleet: Arc<DirectFleet>, stop: Arc<AtomicBool>) {
    let client = operator_client(&fleet);
    let mut number = 1;
    while !stop.load(Ordering::SeqCst) {
        let text = configuration_text(number);
        let command = Command::AdoptDocument { number, source: text.clone(), text, by: "operator".into() };
        let key = format!("adopt/{number}");
        while client.write(&key, command.clone(), WRITE_TIMEOUT).await.is_err() {
            seam::sleep(WRITE_RETRY_PAUSE).await;
        }
        let acknowledged = AcknowledgedVersion { number, at: fleet.simulation.now() };
        fleet.group.with(|state| state.ledger.config_versions.push(acknowledged));
        number += fastrand::u64(1..4);
        seam::sleep(millis(fastrand::u64(1_500..6_000))).await;
    }
}

impl GroupState {
    /// Returns the registration that a server has to send, with its record, or `None` if its current registration is
    /// acknowledged. A server that has deregistered to leave registers no more.
    fn next_registration(&mut self, index: usize, now: Millis) -> Option<(Registration, ServerRecord)> {
        let server = &self.servers[index];
        if server.is_absent || server.is_leaving || now < server.registers_from {
            return None;
        }
        let registration = server.registration();
        if server.registered_as.as_ref() == Some(&registration) {
            return None;
        }
        let record = self.next_record(index, &registration);
        Some((registration, record))
    }

    /// Returns the record that a server sends with its next heartbeat.
    pub(super) fn next_record(&mut self, index: usize, registration: &Registration) -> ServerRecord {
        let server = &mut self.servers[index];
        server.registration_sequence += 1;
        ServerRecord {
            server: registration.name.clone(),
            group: GROUP.into(),
            addr: server.addr.clone(),
            zone: format!("d{index}").into(),
            slots: SLOTS as u32,
            draining: registration.draining,
            role: registration.role,
            seq: server.registration_sequence,
        }
    }

    /// Records the acknowledgement of a registration. That of a server which has been replaced since is ignored.
    fn registered(&mut self, index: usize, registration: Registration, now: Millis) {
        let server = &mut self.servers[index];
        if server.name != registration.name {
            return;
        }
        if registration.draining && server.drain_acknowledged_at.is_none() {
            server.drain_acknowledged_at = Some(now);
        }
        server.registered_as = Some(registration);
    }

    /// Replaces a stopped server by another one with a new name at the same address and with the same log.
    fn replace_server(&mut self, index: usize, old_name: &str) {
        let suffix = self.last_connection_id;
        let server = &mut self.servers[index];
        server.name = format!("{}x{suffix}", &old_name[..2]).into();
        server.role = Role::Replica;
        server.draining = false;
        server.is_leaving = false;
        server.drain_acknowledged_at = None;
        server.registered_as = None;
        server.registration_sequence = 0;
    }
}

/// Registers a server again whenever its name, role or draining state changes.
async fn register_server_changes(fleet: Arc<DirectFleet>, index: usize) {
    let client = operator_client(&fleet);
    loop {
        seam::sleep(millis(fastrand::u64(100..300))).await;
        let pid = fleet.group.with(|state| state.servers[index].pid);
        if !fleet.simulation.lock().is_running(pid) {
            continue;
        }
        let next = fleet.group.with(|state| state.next_registration(index, fleet.simulation.now()));
        let Some((registration, at)) = next else { continue };
        let key = format!("beat/{}/{}", at.server, at.seq);
        if client.write(&key, Command::RegisterServer { at }, WRITE_TIMEOUT).await.is_ok() {
            let now = fleet.simulation.now();
            fleet.group.with(|state| state.registered(index, registration, now));
        }
    }
}

/// Waits for the acknowledgement of a server's drain and returns its time. If that takes longer than
/// [`DRAIN_ACKNOWLEDGEMENT_TIMEOUT`], returns the time at which the wait began.
pub(super) async fn drain_start(fleet: &DirectFleet, index: usize) -> Millis {
    let started_at = fleet.simulation.now();
    loop {
        seam::sleep(DRAIN_POLL).await;
        if let Some(at) = fleet.group.with(|state| state.servers[index].drain_acknowledged_at) {
            return at;
        }
        if fleet.simulation.now() > started_at + DRAIN_ACKNOWLEDGEMENT_TIMEOUT {
            return started_at;
        }
    }
}

/// Deregisters a server. Returns whether that was acknowledged.
pub(super) async fn deregister_server(fleet: &DirectFleet, name: &Name) -> bool {
    let client = operator_client(fleet);
    for attempt in 0..DEREGISTRATION_ATTEMPTS {
        let command = Command::DeregisterServer { server: name.clone() };
        if client.write(&format!("depart/{name}"), command, WRITE_TIMEOUT).await.is_ok() {
            return true;
        }
        seam::sleep(millis(100 * attempt)).await;
    }
    false
}

/// Stops a server and starts a replacement with its address and log.
pub(super) async fn stop_and_replace(fleet: &Arc<DirectFleet>, index: usize, name: &str) {
    fleet.crash_server(index, false);
    seam::sleep(millis(fastrand::u64(300..1_500))).await;
    fleet.group.with(|state| state.replace_server(index, name));
    fleet.start_server(index);
}

/// Drains a server for [`DRAIN_TIME`], deregisters and stops it, and starts a replacement with its address and log.
pub async fn drain_and_replace(fleet: Arc<DirectFleet>, index: usize) {
    let name = fleet.group.with(|state| {
        state.servers[index].draining = true;
        state.servers[index].name.clone()
    });
    let stop_at = drain_start(&fleet, index).await + DRAIN_TIME;
    let remaining = stop_at.saturating_sub(fleet.simulation.now()).max(1);
    seam::sleep(millis(remaining)).await;
    deregister_server(&fleet, &name).await;
    stop_and_replace(&fleet, index, &name).await;
}

/// Starts the tasks that register servers, adopt configurations and check the versions in force. The caller runs this
/// in the clients' process.
pub fn start(fleet: &Arc<DirectFleet>, stop: &Arc<AtomicBool>) {
    for index in 0..fleet.group.with(|state| state.servers.len()) {
        seam::spawn(register_server_changes(fleet.clone(), index));
    }
    seam::spawn(adopt_configurations(fleet.clone(), stop.clone()));
    seam::spawn(check_config_versions(fleet.clone()));
}
