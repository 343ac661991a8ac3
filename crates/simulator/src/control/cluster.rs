//! The simulated machines, and the state that all parts of a run share.
use super::budget::FaultBudget;
use super::disk::Disk;
use super::history::{Document, History};
use super::invariants::Invariants;
use super::machine::{self, Process};
use super::parameters::Parameters;
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::{Millis, Name};
use quincehatch_store::View;
use quincehatch_store::record::RecoveredState;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// Number of machines that are the seeds of all machines at the first start.
const INITIAL_SEEDS: usize = 3;

/// A machine of the core.
pub struct Machine {
    pub pid: ProcessId,
    pub address: Name,
    pub disk: Arc<Mutex<Disk>>,
    pub process: Option<Process>,
    /// Extra time of each step while the machine is slowed.
    pub step_delay: Millis,
    /// False once the machine was removed for good.
    pub present: bool,
    /// The machine's place in the deployment; a successor takes over its predecessor's slot.
    pub slot: usize,
}

#[derive(Default)]
pub struct ClusterState {
    pub machines: Vec<Machine>,
    /// The operators' list of seeds, with which processes start.
    pub seeds: Vec<Name>,
    /// Most replies to operators are lost until this time.
    pub replies_lost_until: Millis,
    /// Whether the machines are still in their first start, in which the seeds begin with the initial view.
    pub first_start: bool,
    next_address: u64,
    /// The highest document number submitted so far.
    pub next_number: u64,
    /// Operators, readers and nodes end their work.
    pub stopped: bool,
}

pub struct Cluster {
    pub simulation: Arc<Simulation>,
    pub parameters: Parameters,
    pub state: Mutex<ClusterState>,
    pub history: Mutex<History>,
    pub invariants: Mutex<Invariants>,
    pub budget: Mutex<FaultBudget>,
}

impl Cluster {
    pub fn new(simulation: Arc<Simulation>, parameters: Parameters) -> Arc<Cluster> {
        Arc::new(Cluster {
            simulation,
            parameters,
            state: Mutex::new(ClusterState { first_start: true, ..Default::default() }),
            history: Mutex::default(),
            invariants: Mutex::default(),
            budget: Mutex::default(),
        })
    }

    /// Schedules the first start of all machines, within 0.3 s of each other.
    pub fn start_all(self: &Arc<Self>) {
        let count = self.parameters.shape.machines;
        self.state.lock().unwrap().seeds = (1..=INITIAL_SEEDS.min(count)).map(address).collect();
        for slot in 0..count {
            let cluster = self.clone();
            let at = self.below(300);
            let address = self.fresh_address();
            self.simulation.schedule_action(at, move |_| {
                cluster.add_machine(slot, address);
            });
        }
        let cluster = self.clone();
        self.simulation.schedule_action(1_000, move |_| cluster.state.lock().unwrap().first_start = false);
    }

    pub fn fresh_address(&self) -> Name {
        let mut state = self.state.lock().unwrap();
        state.next_address += 1;
        address(state.next_address as usize)
    }

    /// Adds and starts a machine with an empty disk; returns its index.
    pub fn add_machine(self: &Arc<Self>, slot: usize, address: Name) -> usize {
        let disk = Arc::new(Mutex::new(self.empty_disk(&address)));
        let index = {
            let mut state = self.state.lock().unwrap();
            let (pid, process, slow_ms, present) = (ProcessId::MAX, None, 0, true);
            let name = address.clone();
            state.machines.push(Machine {
                pid,
                address: name,
                disk,
                process,
                step_delay: slow_ms,
                present,
                slot,
            });
            state.machines.len() - 1
        };
        let cluster = self.clone();
        let start = move |_: &Arc<Simulation>, pid: ProcessId| machine::start(&cluster, index, pid);
        self.simulation.add_process(&address, Arc::new(start), false);
        index
    }

    /// Returns the disk of a new keeper. A seed in the first start is named by its address and holds the initial view;
    /// any other keeper has a fresh name and no state.
    pub fn empty_disk(&self, address: &Name) -> Disk {
        let (is_first_seed, seeds) = {
            let state = self.state.lock().unwrap();
            (state.first_start && state.seeds.contains(address), state.seeds.clone())
        };
        let sync_ms = 2 + self.below(4);
        if is_first_seed {
            let initial_state = RecoveredState { view: View::initial(&seeds), ..Default::default() };
            return Disk::new(address.to_string(), initial_state, sync_ms);
        }
        let salt = self.simulation.lock().rng.next_u64() as u32;
        let mut disk = Disk::new(format!("{address}#{salt:08x}"), RecoveredState::default(), sync_ms);
        disk.created_at = self.simulation.now();
        disk
    }

    pub fn below(&self, limit: u64) -> u64 {
        self.simulation.lock().rng.below(limit)
    }

    pub fn chance(&self, per_mille: u64) -> bool {
        self.simulation.lock().rng.chance(per_mille)
    }

    /// Addresses of the machines that were not removed, up or down.
    pub fn addresses(&self) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        state
            .machines
            .iter()
            .filter(|machine| machine.present)
            .map(|machine| machine.address.clone())
            .collect()
    }

    /// Indices of the machines that were not removed, up or down.
    pub fn present(&self) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        (0..state.machines.len()).filter(|index| state.machines[*index].present).collect()
    }

    pub fn pid(&self, index: usize) -> ProcessId {
        self.state.lock().unwrap().machines[index].pid
    }

    pub fn slot(&self, index: usize) -> usize {
        self.state.lock().unwrap().machines[index].slot
    }

    /// Returns an unused slot for an additional machine.
    pub fn fresh_slot(&self) -> usize {
        self.parameters.shape.machines + self.state.lock().unwrap().machines.len()
    }

    pub fn disk(&self, index: usize) -> Arc<Mutex<Disk>> {
        self.state.lock().unwrap().machines[index].disk.clone()
    }

    pub fn stopped(&self) -> bool {
        self.state.lock().unwrap().stopped
    }

    /// Returns a new document, numbered above all earlier ones.
    pub fn next_document(&self) -> Document {
        let mut state = self.state.lock().unwrap();
        state.next_number += 1;
        Document { number: state.next_number, variant: 0 }
    }

    /// Processes that are not core machines: operators, readers and nodes.
    pub fn non_machine_processes(&self) -> Vec<ProcessId> {
        let state = self.state.lock().unwrap();
        let machine_pids: BTreeSet<ProcessId> = state.machines.iter().map(|machine| machine.pid).collect();
        drop(state);
        (0..self.simulation.lock().processes.len()).filter(|pid| !machine_pids.contains(pid)).collect()
    }
}

fn address(number: usize) -> Name {
    Name::from(format!("10.0.0.{number}"))
}
