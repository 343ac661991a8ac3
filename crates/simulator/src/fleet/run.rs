//! One seed of a simulated fleet from start to end: a start without faults, a fault period, healing, and the checks.
use super::final_faults::inject_final_fault;
use super::load::{load_environment, run_load};
use super::setup::{SimulatedFleet, build_fleet};
use super::{faults, promotion_faults};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use quincehatch_testbed::fleet::Shape;
use quincehatch_testbed::history::{CallEnd, Facts, History, check_history, longest_gaps_after};
use quincehatch_testbed::load_environment::LoadEnvironment;
use quincehatch_testbed::run_facts::{collect_facts, resolve_open_attempts};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Every violation, as a line that names its check.
    pub violations: Vec<String>,
    /// Orders that were committed.
    pub committed: usize,
    /// Orders that were sent.
    pub attempts: usize,
    /// Lookups that were answered.
    pub reads: usize,
    /// Configurations that were acknowledged.
    pub pushes: usize,
    /// Promotions recorded in the servers' logs.
    pub promotions: usize,
    /// Messages handed to the network.
    pub messages_sent: u64,
    /// Hash of all steps; it is the same in every run of a seed.
    pub trace: u64,
    /// The longest time without a committed order after the last fault.
    pub longest_outage_ms: Millis,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimOptions {
    /// Seed of the run.
    pub seed: u64,
    /// Number of keepers.
    pub keepers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of groups of servers.
    pub groups: usize,
    /// Whether the only fault is a final one, which is not healed.
    pub final_fault: bool,
    /// Whether faults are drawn that strike close to promotions.
    pub promotion_faults: bool,
    /// Name of an injected bug.
    pub bug: Option<String>,
    /// Whether events are printed.
    pub verbose: bool,
}

/// Number of zones in every run.
const ZONES: usize = 3;
/// Number of servers of each group in every run, without its spare.
const REPLICAS: usize = 3;
/// Time at which the fault period begins.
const FAULTS_FROM: Millis = 9_000;
/// Length of the fault period, after which no new fault begins.
const FAULT_PERIOD: Millis = 30_000;
/// Time from [`FAULTS_FROM`] to a final fault.
const FINAL_FAULT_DELAY: Millis = 2_000;
/// Time for which the load continues after the last fault.
const RECOVERY_PERIOD: Millis = 17_000;
/// Time for callers to end their calls once the load has stopped.
const LOAD_END: Millis = 6_000;
/// Largest number of steps of [`COLLECTION_STEP`] for the collection of the final state.
const COLLECTION_STEPS: usize = 60;
const COLLECTION_STEP: Millis = 1_000;
/// The last fault, after which service must recover within its bound.
struct LastFault {
    at: Millis,
    description: String,
}

/// The outcome of the load.
struct FinalState {
    facts: Facts,
    fault: LastFault,
    /// When the load was stopped.
    end: Millis,
}

/// Runs one seed.
pub fn run_seed(options: &SimOptions) -> Report {
    let shape = Shape {
        name: "sim".into(),
        zones: ZONES,
        nodes: options.nodes,
        keepers: options.keepers,
        groups: options.groups,
        replicas: REPLICAS,
        port: 0,
    };
    let fleet = Arc::new(build_fleet(options.seed, shape, options.bug.as_deref(), options.verbose));
    let env = load_environment(&fleet);
    let load =
        run_load(fleet.operator_addresses.clone(), fleet.configuration.clone(), env.clone(), options.seed);
    fleet.simulation.run_in(fleet.callers, || seam::spawn(load));
    let fault = run_faults(&fleet, options);
    fleet.simulation.run_until(fault.at + RECOVERY_PERIOD);
    // A process that a trap has stopped meanwhile counts as a later fault.
    let fault = LastFault { at: fault.at.max(fleet.simulation.lock().trap_sprung_at), ..fault };
    fleet.simulation.run_until(fault.at + RECOVERY_PERIOD);
    env.stop.store(true, Ordering::SeqCst);
    let end = fleet.simulation.now();
    fleet.simulation.run_until(end + LOAD_END);
    let report = match collect_final_state(&fleet, &env, options.seed) {
        Ok(facts) => report(options, &fleet, &env, FinalState { facts, fault, end }),
        Err(reason) => Report { seed: options.seed, violations: vec![reason], ..Default::default() },
    };
    fleet.shut_down();
    report
}

fn run_faults(fleet: &Arc<SimulatedFleet>, options: &SimOptions) -> LastFault {
    let simulation = &fleet.simulation;
    if options.final_fault {
        simulation.run_until(FAULTS_FROM + FINAL_FAULT_DELAY);
        let at = simulation.now();
        return LastFault { at, description: inject_final_fault(fleet, options.seed) };
    }
    let draw =
        if options.promotion_faults { promotion_faults::draw_promotion_fault } else { faults::draw_fault };
    faults::schedule_faults(fleet, FAULTS_FROM, FAULT_PERIOD, draw);
    simulation.run_until(FAULTS_FROM + FAULT_PERIOD);
    fleet.heal_all();
    LastFault { at: simulation.now(), description: "all is healed".to_owned() }
}

/// Resolves the attempts that are still open, and collects the state of the servers.
fn collect_final_state(
    fleet: &SimulatedFleet,
    env: &Arc<LoadEnvironment>,
    seed: u64,
) -> Result<Facts, String> {
    let collected: Arc<Mutex<Option<Result<Facts, String>>>> = Arc::default();
    let (slot, env, operators) = (collected.clone(), env.clone(), fleet.operator_addresses.clone());
    let servers: Vec<_> =
        fleet.servers.iter().chain(&fleet.spares).map(|server| server.address.clone()).collect();
    let collect = async move {
        resolve_open_attempts(&env, seed).await;
        let facts = collect_facts(&operators, &servers).await;
        *slot.lock().unwrap() = Some(facts);
    };
    fleet.simulation.run_in(fleet.callers, || seam::spawn(collect));
    for _ in 0..COLLECTION_STEPS {
        fleet.simulation.run_until(fleet.simulation.now() + COLLECTION_STEP);
        if collected.lock().unwrap().is_some() {
            break;
        }
    }
    let facts = collected.lock().unwrap().take();
    facts.unwrap_or_else(|| Err("the final state could not be collected".into()))
}

fn report(
    options: &SimOptions,
    fleet: &SimulatedFleet,
    env: &LoadEnvironment,
    final_state: FinalState,
) -> Report {
    let FinalState { facts, fault, end } = final_state;
    let mut history = env.history.lock().unwrap();
    for push in &mut history.push_attempts {
        push.majority_up = options.final_fault || push.asked >= fault.at;
    }
    history.immediate_effect = true;
    let sent = env.sent_statements.lock().unwrap().clone();
    let all_servers = fleet.servers.iter().chain(&fleet.spares);
    let journal =
        |server: &super::setup::Server| (server.address.name.clone(), server.disk.journal.entries_so_far());
    let facts = Facts { journals: all_servers.map(journal).collect(), ..facts };
    let faults = [(fault.at, format!("final: {}", fault.description))];
    let mut violations = check_history(&history, &facts, &sent, &faults, end);
    violations.extend(fleet.keeper_registry.commit_watch.lock().unwrap().violations.iter().cloned());
    let committed = count_committed(&history);
    if committed == 0 || history.reads.is_empty() || history.pushes.is_empty() {
        violations.push("the run proves nothing: no order, read or push came through".into());
    }
    let state = fleet.simulation.lock();
    Report {
        seed: options.seed,
        violations,
        committed,
        attempts: history.attempts.len(),
        reads: history.reads.len(),
        pushes: history.pushes.len(),
        promotions: count_promotions(&facts),
        messages_sent: state.messages_sent,
        trace: state.trace,
        longest_outage_ms: longest_gaps_after(&history, fault.at).into_values().max().unwrap_or(Millis::MAX),
    }
}

fn count_committed(history: &History) -> usize {
    let is_committed = |ends: &[(CallEnd, u64, u64)]| ends.iter().any(|end| end.0 == CallEnd::Committed);
    history.attempts.values().filter(|attempt| is_committed(&attempt.ends)).count()
}

/// Counts the records with which each new primary begins its log.
fn count_promotions(facts: &Facts) -> usize {
    let primaries = facts.logs.values().filter_map(|logs| logs.first());
    primaries.map(|(_, log)| log.iter().filter(|record| record.ends_with(" start")).count()).sum()
}
