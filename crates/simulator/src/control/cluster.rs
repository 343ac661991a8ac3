//! The simulated machines and all that a run's parts share.
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

/// Machines that are named to all others at the first start.
const INITIAL_SEEDS: usize = 3;

pub struct Machine {
    pub pid: ProcessId,
    pub address: Name,
    pub disk: Arc<Mutex<Disk>>,
    pub process: Option<Process>,
    /// Time that each step takes on a machine that is slowed.
    pub step_delay: Millis,
    /// False once it was removed for good.
    pub present: bool,
    /// Its place in the deployment; a successor takes its predecessor's.
    pub slot: usize,
}

#[derive(Default)]
pub struct ClusterState {
    pub machines: Vec<Machine>,
    /// The seeds that the operators' list names, known to processes that start from now on.
    pub seeds: Vec<Name>,
    /// Answers to operators are lost until that time.
    pub replies_lost_until: Millis,
    pub first_start: bool,
    next_address: u64,
    pub next_number: u64,
    pub stopped: bool,
}

pub struct Cluster {
    pub core: Arc<Simulation>,
    pub parameters: Parameters,
    pub state: Mutex<ClusterState>,
    pub history: Mutex<History>,
    pub invariants: Mutex<Invariants>,
    pub budget: Mutex<FaultBudget>,
}

impl Cluster {
    pub fn new(core: Arc<Simulation>, parameters: Parameters) -> Arc<Cluster> {
        Arc::new(Cluster {
            core,
            parameters,
            state: Mutex::new(ClusterState { first_start: true, ..Default::default() }),
            history: Mutex::default(),
            invariants: Mutex::default(),
            budget: Mutex::default(),
        })
    }

    /// All machines of the first start, which begin within 0.3 s of each other.
    pub fn start_all(self: &Arc<Self>) {
        let count = self.parameters.shape.machines;
        self.state.lock().unwrap().seeds = (1..=INITIAL_SEEDS.min(count)).map(address).collect();
        for slot in 0..count {
            let cluster = self.clone();
            let at = self.below(300);
            let address = self.fresh_address();
            self.core.schedule_action(at, move |_| {
                cluster.add_machine(slot, address);
            });
        }
        let cluster = self.clone();
        self.core.schedule_action(1_000, move |_| cluster.state.lock().unwrap().first_start = false);
    }

    pub fn fresh_address(&self) -> Name {
        let mut state = self.state.lock().unwrap();
        state.next_address += 1;
        address(state.next_address as usize)
    }

    /// A new machine with an empty disk; its index.
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
        self.core.add_process(&address, Arc::new(start), false);
        index
    }

    /// The folder of a keeper that was never there before: named by its address at the first start of a seed, under a
    /// fresh name otherwise.
    pub fn empty_disk(&self, address: &Name) -> Disk {
        let (first, seeds) = {
            let state = self.state.lock().unwrap();
            (state.first_start && state.seeds.contains(address), state.seeds.clone())
        };
        let sync_ms = 2 + self.below(4);
        if first {
            let found = RecoveredState { view: View::initial(&seeds), ..Default::default() };
            return Disk::new(address.to_string(), found, sync_ms);
        }
        let salt = self.core.lock().rng.next_u64() as u32;
        let mut disk = Disk::new(format!("{address}#{salt:08x}"), RecoveredState::default(), sync_ms);
        disk.born_at = self.core.now();
        disk
    }

    pub fn below(&self, limit: u64) -> u64 {
        self.core.lock().rng.below(limit)
    }

    pub fn chance(&self, per_mille: u64) -> bool {
        self.core.lock().rng.chance(per_mille)
    }

    /// Addresses of the machines that are there, up or not.
    pub fn addresses(&self) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        state
            .machines
            .iter()
            .filter(|machine| machine.present)
            .map(|machine| machine.address.clone())
            .collect()
    }

    /// Indices of the machines that are there.
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

    /// A place for one more machine.
    pub fn fresh_slot(&self) -> usize {
        self.parameters.shape.machines + self.state.lock().unwrap().machines.len()
    }

    pub fn disk(&self, index: usize) -> Arc<Mutex<Disk>> {
        self.state.lock().unwrap().machines[index].disk.clone()
    }

    pub fn stopped(&self) -> bool {
        self.state.lock().unwrap().stopped
    }

    /// A number above all that were sent.
    pub fn next_document(&self) -> Document {
        let mut state = self.state.lock().unwrap();
        state.next_number += 1;
        Document { number: state.next_number, variant: 0 }
    }

    /// Processes that are not core machines: operators, readers and nodes.
    pub fn non_machine_processes(&self) -> Vec<ProcessId> {
        let state = self.state.lock().unwrap();
        let core: BTreeSet<ProcessId> = state.machines.iter().map(|machine| machine.pid).collect();
        drop(state);
        (0..self.core.lock().processes.len()).filter(|pid| !core.contains(pid)).collect()
    }
}

fn address(number: usize) -> Name {
    Name::from(format!("10.0.0.{number}"))
}
