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
    /// Faults that are drawn though the product is known not to withstand them.
    pub allowed: Allowed,
    /// A deliberate bug of the product or of the simulated process.
    pub bug: Option<String>,
    /// Prints what happens.
    pub verbose: bool,
}

/// What a run came to.
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
    /// Polls of nodes under a lease.
    pub applied: usize,
    /// Entries that the chain committed.
    pub committed: u64,
    /// The highest version of a view.
    pub views: u64,
    /// Time in which the core was settled.
    pub settled_ms: Millis,
    /// Hash of all that happened: two runs of one seed have the same.
    pub trace: u64,
}

/// Orders begin once the first view is in service.
const SUBMISSIONS_FROM: Millis = 3_000;
/// The time for reading back after everything has healed.
const READ_BACK_TIMEOUT: Millis = 10_000;
/// How often the reading back is looked at.
const READ_BACK_STEP: Millis = 100;
/// Network delay one way, in milliseconds.
const NETWORK_DELAY: (Millis, Millis) = (1, 4);

/// Runs one seed.
pub fn run_seed(sim: &ControlSimOptions) -> ControlReport {
    let parameters = Parameters::for_seed(sim.seed, sim.allowed);
    let core = Simulation::new(sim.seed, sim.bug.as_deref(), sim.verbose);
    core.lock().delay_range = NETWORK_DELAY;
    let cluster = Cluster::new(core.clone(), parameters);
    cluster.start_all();
    core.run_until(SUBMISSIONS_FROM);
    node::start(&cluster);
    operator::start(&cluster);
    core.run_until(cluster.parameters.faults_from);
    inject::schedule_next(cluster.clone());
    core.run_until(cluster.parameters.faults_until);
    inject_closing_fault(&cluster);
    settle_and_read_back(&cluster);
    let report = report(sim.seed, &cluster);
    core.shut_down();
    report
}

/// Every other seed ends with a closing fault, right after an acknowledgement.
fn inject_closing_fault(cluster: &Arc<Cluster>) {
    let core = &cluster.core;
    inject::heal_all(cluster);
    let quiet = cluster.parameters.catch_up_time + cluster.parameters.settle_time;
    core.run_until(core.now() + quiet);
    if cluster.chance(500) {
        return;
    }
    let acknowledged = |cluster: &Cluster| cluster.history.lock().unwrap().acknowledged.len();
    let (had, limit) = (acknowledged(cluster), core.now() + quiet);
    while acknowledged(cluster) == had && core.now() < limit {
        core.run_until(core.now() + 1);
    }
    let down = 200 + cluster.below(2_000);
    match cluster.below(3) {
        0 => inject::inject(cluster, Fault::KillAll { power: false, down }, 0),
        1 => inject::inject(cluster, Fault::KillAll { power: true, down }, 0),
        _ => wipe_tolerated(cluster, down),
    }
}

/// As many machines as may be lost lose their disks.
fn wipe_tolerated(cluster: &Arc<Cluster>, down: Millis) {
    let mut machines = cluster.present();
    cluster.core.lock().rng.shuffle(&mut machines);
    for machine in machines.into_iter().take(cluster.parameters.shape.tolerated) {
        inject::inject(cluster, Fault::WipeDisk { down }, machine);
    }
}

/// Lets the core settle, ends the orders, and reads back what is in force.
fn settle_and_read_back(cluster: &Arc<Cluster>) {
    let core = &cluster.core;
    core.run_until(core.now() + cluster.parameters.healing_time);
    let (end, settled) = {
        let budget = cluster.budget.lock().unwrap();
        (core.now(), budget.settled_spans(cluster.parameters.settle_time, core.now()))
    };
    cluster.history.lock().unwrap().settled = settled;
    cluster.state.lock().unwrap().stopped = true;
    core.run_until(end + 1_000);
    let reader = cluster.non_machine_processes().last().copied().unwrap_or_default();
    let shared = cluster.clone();
    core.run_in(reader, || quincehatch_runtime::seam::spawn(operator::read_back(shared)));
    let limit = core.now() + READ_BACK_TIMEOUT;
    while !cluster.history.lock().unwrap().read_back && core.now() < limit {
        core.run_until(core.now() + READ_BACK_STEP);
    }
}

fn report(seed: u64, cluster: &Cluster) -> ControlReport {
    let mut history = cluster.history.lock().unwrap();
    let invariants = cluster.invariants.lock().unwrap();
    history.violations.clone_from(&invariants.violations);
    let mut breaches = check_history(&history, &cluster.parameters);
    if proves_nothing(&history) {
        breaches.push("the run proves nothing: no acknowledgement, read or poll came through".into());
    }
    let settled_ms = history.settled.iter().map(|(from, to)| to - from).sum();
    ControlReport {
        seed,
        violations: breaches,
        submissions: history.submissions.len(),
        acknowledged: history.acknowledged.len(),
        reads: history.reads.len(),
        applied: history.applied.len(),
        committed: invariants.committed(),
        views: invariants.highest_view(),
        settled_ms,
        trace: cluster.core.lock().trace,
    }
}

fn proves_nothing(history: &History) -> bool {
    let read = |document: Option<Document>| document.is_some();
    history.acknowledged.is_empty()
        || !history.reads.iter().any(|seen| read(seen.document))
        || !history.applied.iter().any(|seen| read(seen.document))
}
