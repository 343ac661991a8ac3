//! One seed of a fleet on direct connections from start to end: a quiet start, a time of faults, healing, and the checks.
use super::ledger::Ledger;
use super::setup::{DirectFleet, FleetSize, build_fleet};
use super::{client, operator};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a run came to.
#[derive(Debug, Default)]
pub struct DirectReport {
    /// Seed of the run.
    pub seed: u64,
    /// Every violation, as a line that names its check.
    pub violations: Vec<String>,
    /// Commits that were acknowledged.
    pub acknowledged: usize,
    /// Reads that servers executed.
    pub reads: usize,
    /// Statements that clients sent.
    pub statements: usize,
    /// Versions of the configuration that were acknowledged.
    pub config_versions: usize,
    /// Promotions that took effect.
    pub promotions: usize,
    /// Hash of all that happened: two runs of one seed have the same.
    pub trace: u64,
    /// The longest time without an acknowledged commit after all was healed.
    pub longest_outage_ms: Millis,
    /// What happened, in the words of servers and nodes.
    pub event_log: Vec<String>,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct DirectSimOptions {
    /// Seed of the run.
    pub seed: u64,
    /// Number of keepers.
    pub keepers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// A deliberate bug that is switched on.
    pub bug: Option<String>,
    /// Prints what happens.
    pub verbose: bool,
}

/// Faults begin at this time, and no new one does once the period is over.
const FAULTS_FROM: Millis = 6_000;
const FAULT_PERIOD: Millis = 30_000;
/// Clients go on for so long after all is healed.
const RECOVERY_PERIOD: Millis = 16_000;
/// Clients end what they are doing within this time.
const CLIENTS_END: Millis = 4_000;
const CLIENTS: usize = 9;
/// Commits are acknowledged again within this time after all is healed.
const MAX_OUTAGE: Millis = 10_000;

/// Runs one seed.
pub fn run_seed(options: &DirectSimOptions) -> DirectReport {
    let size = FleetSize { keepers: options.keepers, nodes: options.nodes };
    let fleet = build_fleet(options.seed, &size, options.bug.as_deref(), options.verbose);
    let simulation = &fleet.simulation;
    let stop = Arc::new(AtomicBool::new(false));
    simulation.run_in(fleet.clients, || {
        operator::start(&fleet, &stop);
        for _ in 0..CLIENTS {
            seam::spawn(client::run_client(fleet.clone(), stop.clone()));
        }
    });
    simulation.run_until(FAULTS_FROM);
    fleet.schedule_faults(FAULTS_FROM, FAULT_PERIOD);
    simulation.run_until(FAULTS_FROM + FAULT_PERIOD);
    fleet.heal_all();
    let healed = simulation.now();
    simulation.run_until(healed + RECOVERY_PERIOD);
    stop.store(true, Ordering::SeqCst);
    simulation.run_until(healed + RECOVERY_PERIOD + CLIENTS_END);
    let report = report(options.seed, &fleet, healed);
    fleet.shut_down();
    report
}

/// The longest time without an acknowledgement from `healed` to the end of the load.
fn longest_outage(ledger: &Ledger, healed: Millis) -> Millis {
    let mut times: Vec<Millis> = vec![healed];
    times.extend(ledger.acknowledgement_times().filter(|at| *at > healed));
    times.push(healed + RECOVERY_PERIOD);
    times.sort_unstable();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(Millis::MAX)
}

fn report(seed: u64, fleet: &Arc<DirectFleet>, healed: Millis) -> DirectReport {
    let now = fleet.simulation.now();
    let trace = fleet.simulation.lock().trace;
    fleet.group.with(|state| {
        if let Some(primary) = state.primary() {
            state.ledger.check_log_complete(now, &state.servers[primary], "is primary at the end");
        }
        let ledger = &mut state.ledger;
        let longest_outage_ms = longest_outage(ledger, healed);
        if longest_outage_ms > MAX_OUTAGE {
            ledger.record_violation(format!(
                "BACK: nothing was acknowledged for {longest_outage_ms} ms after all was healed"
            ));
        }
        let acknowledged = ledger.acknowledgement_times().len();
        if acknowledged == 0 || ledger.reads == 0 || ledger.config_versions.is_empty() {
            let violation = "the run proves nothing: no commit, read or configuration came through";
            ledger.record_violation(violation.into());
        }
        let mut violations = std::mem::take(&mut ledger.violations);
        violations.extend(fleet.keeper_registry.commit_watch.lock().unwrap().violations.iter().cloned());
        let mut event_log = std::mem::take(&mut ledger.event_log);
        for node in fleet.nodes.iter().filter_map(|node| node.running()) {
            event_log.extend(node.node.promotion_state.events.lock().unwrap().iter().cloned());
        }
        DirectReport {
            seed,
            violations,
            acknowledged,
            reads: ledger.reads,
            statements: ledger.statements,
            config_versions: ledger.config_versions.len(),
            promotions: state.promotions,
            trace,
            longest_outage_ms,
            event_log,
        }
    })
}
