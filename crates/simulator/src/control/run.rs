//! One seed of the simulated control plane from start to end.
use super::checks::check_history;
use super::cluster::Cluster;
use super::faults::Fault;
use super::history::{Document, History};
use super::parameters::{Allowed, Parameters};
use super::{inject, node, operator};
use crate::fleet::simulation::Simulation;
use quincehatch_core::Millis;
use std::sync::Arc;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct ControlSimOptions {
    /// Seed of the run.
    pub seed: u64,
    /// Additional faults, which the product is known not to tolerate.
    pub allowed: Allowed,
    /// Name of an injected bug of the product or of the simulated process.
    pub bug: Option<String>,
    /// Whether the run's events are printed.
    pub verbose: bool,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct ControlReport {
    /// Seed of the run.
    pub seed: u64,
    /// Every violation, as a line that names its check.
    pub violations: Vec<String>,
    /// Documents that operators sent.
    pub submissions: usize,
    /// Documents that were acknowledged.
    pub acknowledged: usize,
    /// Reads that were answered.
    pub reads: usize,
    /// Polls after which the node held a valid lease.
    pub applied: usize,
    /// Entries that the chain committed.
    pub committed: u64,
    /// The highest version of any view.
    pub views: u64,
    /// Total time in which the core was settled.
    pub settled_ms: Millis,
    /// Hash of all steps; it is the same in every run of a seed.
    pub trace: u64,
}

/// Submissions begin at this time, when the first view is in service.
const SUBMISSIONS_FROM: Millis = 3_000;
/// Deadline for a read after all faults are healed.
const READ_BACK_TIMEOUT: Millis = 10_000;
/// Interval at which the run checks whether that read was answered.
const READ_BACK_STEP: Millis = 100;
/// Network delay one way, least and most.
const NETWORK_DELAY: (Millis, Millis) = (1, 4);

/// Runs one seed.
pub fn run_seed(options: &ControlSimOptions) -> ControlReport {
    let parameters = Parameters::for_seed(options.seed, options.allowed);
    let simulation = Simulation::new(options.seed, options.bug.as_deref(), options.verbose);
    simulation.lock().delay_range = NETWORK_DELAY;
    let cluster = Cluster::new(simulation.clone(), parameters);
    cluster.start_all();
    simulation.run_until(SUBMISSIONS_FROM);
    node::start(&cluster);
    operator::start(&cluster);
    simulation.run_until(cluster.parameters.faults_from);
    inject::schedule_next(cluster.clone());
    simulation.run_until(cluster.parameters.faults_until);
    inject_closing_fault(&cluster);
    settle_and_read_back(&cluster);
    let report = report(options.seed, &cluster);
    simulation.shut_down();
    report
}

/// Heals all faults; about every other run then has a closing fault right after an acknowledgement.
fn inject_closing_fault(cluster: &Arc<Cluster>) {
    let simulation = &cluster.simulation;
    inject::heal_all(cluster);
    let recovery_time = cluster.parameters.catch_up_time + cluster.parameters.settle_time;
    simulation.run_until(simulation.now() + recovery_time);
    if cluster.chance(500) {
        return;
    }
    let acknowledged = |cluster: &Cluster| cluster.history.lock().unwrap().acknowledged.len();
    let (count_before, limit) = (acknowledged(cluster), simulation.now() + recovery_time);
    while acknowledged(cluster) == count_before && simulation.now() < limit {
        simulation.run_until(simulation.now() + 1);
    }
    let downtime = 200 + cluster.below(2_000);
    match cluster.below(3) {
        0 => inject::inject(cluster, Fault::KillAll { power_loss: false, downtime }, 0),
        1 => inject::inject(cluster, Fault::KillAll { power_loss: true, downtime }, 0),
        _ => wipe_tolerated(cluster, downtime),
    }
}

/// Wipes the disks of as many machines as may be lost at once.
fn wipe_tolerated(cluster: &Arc<Cluster>, downtime: Millis) {
    let mut machines = cluster.present();
    cluster.simulation.lock().rng.shuffle(&mut machines);
    for machine in machines.into_iter().take(cluster.parameters.shape.tolerated) {
        inject::inject(cluster, Fault::WipeDisk { downtime }, machine);
    }
}

/// Lets the core settle, stops the submissions, and reads back the document in force.
fn settle_and_read_back(cluster: &Arc<Cluster>) {
    let simulation = &cluster.simulation;
    simulation.run_until(simulation.now() + cluster.parameters.healing_time);
    let (end, settled) = {
        let budget = cluster.budget.lock().unwrap();
        (simulation.now(), budget.settled_spans(cluster.parameters.settle_time, simulation.now()))
    };
    cluster.history.lock().unwrap().settled = settled;
    cluster.state.lock().unwrap().stopped = true;
    simulation.run_until(end + 1_000);
    let reader = cluster.non_machine_processes().last().copied().unwrap_or_default();
    let shared = cluster.clone();
    simulation.run_in(reader, || quincehatch_runtime::seam::spawn(operator::read_back(shared)));
    let limit = simulation.now() + READ_BACK_TIMEOUT;
    while !cluster.history.lock().unwrap().read_back && simulation.now() < limit {
        simulation.run_until(simulation.now() + READ_BACK_STEP);
    }
}

fn report(seed: u64, cluster: &Cluster) -> ControlReport {
    let mut history = cluster.history.lock().unwrap();
    let invariants = cluster.invariants.lock().unwrap();
    history.violations.clone_from(&invariants.violations);
    let mut violation_lines = check_history(&history, &cluster.parameters);
    if lacks_evidence(&history) {
        violation_lines.push("the run proves nothing: no acknowledgement, read or poll came through".into());
    }
    let settled_ms = history.settled.iter().map(|(from, to)| to - from).sum();
    ControlReport {
        seed,
        violations: violation_lines,
        submissions: history.submissions.len(),
        acknowledged: history.acknowledged.len(),
        reads: history.reads.len(),
        applied: history.applied.len(),
        committed: invariants.committed(),
        views: invariants.highest_view(),
        settled_ms,
        trace: cluster.simulation.lock().trace,
    }
}

/// Whether the history lacks an acknowledgement, a read or a poll, so that the checks had nothing to check.
fn lacks_evidence(history: &History) -> bool {
    let read = |document: Option<Document>| document.is_some();
    history.acknowledged.is_empty()
        || !history.reads.iter().any(|event| read(event.document))
        || !history.applied.iter().any(|event| read(event.document))
}
