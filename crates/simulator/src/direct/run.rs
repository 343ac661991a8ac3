//! The run of one seed of a fleet on direct connections: a start without faults, a period of faults, healing, recovery
//! and the final checks.
use super::ledger::Ledger;
use super::setup::{DirectFleet, FleetSize, build_fleet};
use super::{client, operator};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The results of a run.
#[derive(Debug, Default)]
pub struct DirectReport {
    /// Seed of the run.
    pub seed: u64,
    /// The violations found, each as a line that names its check.
    pub violations: Vec<String>,
    /// Number of acknowledged commits.
    pub acknowledged: usize,
    /// Number of reads that servers executed.
    pub reads: usize,
    /// Number of statements that clients sent.
    pub statements: usize,
    /// Number of acknowledged configuration versions.
    pub config_versions: usize,
    /// Number of promotions that took effect.
    pub promotions: usize,
    /// Hash of the run's trace, which is the same for all runs of a seed.
    pub trace: u64,
    /// The longest time without an acknowledged commit after all faults were healed.
    pub longest_outage_ms: Millis,
    /// The logged events of the servers, followed by the promotion events of the nodes.
    pub event_log: Vec<String>,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct DirectSimOptions {
    /// Seed of the run.
    pub seed: u64,
    /// Number of keepers.
    pub keepers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether servers also leave while their last heartbeats are delayed.
    pub departures: bool,
    /// Whether the promoter carries calls out late, while the server that it is called for receives nothing.
    pub slow_promoter: bool,
    /// Whether servers also join at new addresses while their first heartbeats are delayed.
    pub late_joins: bool,
    /// Name of a deliberate bug to enable.
    pub bug: Option<String>,
    /// Whether to print the trace.
    pub verbose: bool,
}

/// Time of the run at which faults begin, and the period within which new faults start.
const FAULTS_START: Millis = 6_000;
const FAULT_PERIOD: Millis = 30_000;
/// How long clients continue after all faults are healed.
const RECOVERY_PERIOD: Millis = 16_000;
/// Time for clients to finish their operations after they are stopped.
const CLIENT_STOP_PERIOD: Millis = 4_000;
const CLIENT_COUNT: usize = 9;
/// Longest time allowed without an acknowledged commit after all faults are healed.
const MAX_OUTAGE: Millis = 10_000;

/// Runs one seed and returns its results.
pub fn run_seed(options: &DirectSimOptions) -> DirectReport {
    let size = FleetSize { keepers: options.keepers, nodes: options.nodes };
    let fleet = build_fleet(options.seed, &size, options.bug.as_deref(), options.verbose);
    if options.late_joins {
        fleet.add_joining_servers();
    }
    let simulation = &fleet.simulation;
    let stop = Arc::new(AtomicBool::new(false));
    simulation.run_in(fleet.clients, || {
        operator::start(&fleet, &stop);
        for _ in 0..CLIENT_COUNT {
            seam::spawn(client::run_client(fleet.clone(), stop.clone()));
        }
    });
    simulation.run_until(FAULTS_START);
    fleet.schedule_faults(FAULTS_START, FAULT_PERIOD);
    if options.departures {
        fleet.schedule_departures(FAULTS_START);
    }
    if options.slow_promoter {
        fleet.schedule_slow_promoter(FAULTS_START);
    }
    if options.late_joins {
        fleet.schedule_late_joins(FAULTS_START);
    }
    simulation.run_until(FAULTS_START + FAULT_PERIOD);
    fleet.heal_all();
    let healed_at = simulation.now();
    simulation.run_until(healed_at + RECOVERY_PERIOD);
    stop.store(true, Ordering::SeqCst);
    simulation.run_until(healed_at + RECOVERY_PERIOD + CLIENT_STOP_PERIOD);
    if options.departures {
        fleet.check_listed_servers();
    }
    let report = report(options.seed, &fleet, healed_at);
    fleet.shut_down();
    report
}

/// Returns the longest time without an acknowledgement between `healed_at` and the end of the load.
fn longest_outage(ledger: &Ledger, healed_at: Millis) -> Millis {
    let mut times: Vec<Millis> = vec![healed_at];
    times.extend(ledger.acknowledgement_times().filter(|at| *at > healed_at));
    times.push(healed_at + RECOVERY_PERIOD);
    times.sort_unstable();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(Millis::MAX)
}

fn report(seed: u64, fleet: &Arc<DirectFleet>, healed_at: Millis) -> DirectReport {
    let now = fleet.simulation.now();
    let trace = fleet.simulation.lock().trace;
    fleet.group.with(|state| {
        if let Some(primary) = state.primary() {
            state.ledger.check_log_complete(now, &state.servers[primary], "is primary at the end");
        }
        let ledger = &mut state.ledger;
        let longest_outage_ms = longest_outage(ledger, healed_at);
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
