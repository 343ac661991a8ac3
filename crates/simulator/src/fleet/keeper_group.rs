//! The keepers of a run, started in their first view.
use super::keeper::{KeeperSetup, start_keeper};
use super::keeper_registry::KeeperRegistry;
use super::simulation::{ProcessId, Simulation, StartProcess};
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{View, Voter};
use std::sync::{Arc, Mutex};

/// The keepers of a run, and their processes in the order of the chain.
pub struct KeeperGroup {
    /// Processes of the keepers.
    pub processes: Vec<ProcessId>,
    /// The state that the keepers share.
    pub registry: Arc<KeeperRegistry>,
}

impl KeeperGroup {
    /// Starts a keeper for each voter, all in the first view.
    pub fn start(simulation: &Arc<Simulation>, voters: Vec<Voter>) -> KeeperGroup {
        let members = voters.iter().map(|voter| voter.name.clone()).collect();
        let view = View { version: 1, members, voters: voters.clone() };
        let registry = Arc::<KeeperRegistry>::default();
        let mut processes = Vec::new();
        for voter in voters {
            let initial_state = RecoveredState { view: view.clone(), ..Default::default() };
            let setup = KeeperSetup {
                name: voter.name.clone(),
                addr: voter.addr.to_string(),
                disk: Arc::new(Mutex::new(initial_state)),
                registry: registry.clone(),
            };
            let start: StartProcess = Arc::new(move |simulation, pid| start_keeper(simulation, pid, &setup));
            let pid = simulation.add_process(&voter.name, start, false);
            registry.process_by_name.lock().unwrap().insert(voter.name, pid);
            processes.push(pid);
        }
        KeeperGroup { processes, registry }
    }
}
