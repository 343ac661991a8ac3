//! Final faults: one or two processes, a machine or a zone fail for good, and no fault is healed.
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use quincehatch_core::{Millis, Name};
use std::sync::Arc;

/// Trace points of a promotion, at one of which the promoting node is stopped in every other run.
const PROMOTION_PHASES: [&str; 5] = ["is closing", "is fencing", "chose", "is promoting", "is naming"];
/// Time for which a trapped node is suspended.
const TRAP_TIME: Millis = 3_000;
/// Time for which a replaced replica drains before it stops.
const REPLACEMENT_DRAIN: Millis = 7_500;
/// Time from the stop of the replaced replica to the crash of the primary.
const PRIMARY_CRASH_DELAY: Millis = 3_000;

/// Processes that fail together.
struct FinalFault {
    label: &'static str,
    processes: Vec<ProcessId>,
}

impl FinalFault {
    fn of(label: &'static str, processes: &[ProcessId]) -> FinalFault {
        FinalFault { label, processes: processes.to_vec() }
    }
}

/// The processes that a final fault may strike.
struct Targets {
    primary: ProcessId,
    head: ProcessId,
    tail: ProcessId,
    node: ProcessId,
}

/// Injects the final fault that the seed determines; returns its description.
pub fn inject_final_fault(fleet: &Arc<SimulatedFleet>, seed: u64) -> String {
    let power_loss = fleet.simulation.lock().rng.chance(500);
    let targets = fleet.draw_targets();
    if seed % 2 == 1 {
        fleet.trap_promotion(seed);
    }
    let Some(fault) = fleet.choose_final_fault(seed, &targets) else {
        return fleet.replace_replica_then_crash_primary(targets.primary, power_loss);
    };
    for pid in &fault.processes {
        fleet.simulation.crash(*pid, power_loss);
    }
    let how = if power_loss { "power loss" } else { "connections reset" };
    let description = format!("{}, {how}", fault.label);
    fleet.simulation.log(&format!("final: {description}"));
    description
}

impl SimulatedFleet {
    fn draw_index(&self, limit: usize) -> usize {
        self.simulation.lock().rng.below(limit as u64) as usize
    }

    /// Returns the primary, head and tail that the first live node knows, and a drawn node.
    fn draw_targets(&self) -> Targets {
        let observer = self.live_nodes.iter().find_map(|node| node.lock().unwrap().clone());
        let assigned = observer.as_ref().and_then(|node| node.proxy.registry.primary("g1"));
        let primary = assigned.and_then(|primary| primary.server);
        let view = observer.map(|node| node.store_client.view()).unwrap_or_default();
        Targets {
            primary: primary.and_then(|name| self.server_process(&name)).unwrap_or(self.servers[0].pid),
            head: self.keeper_process(view.head()),
            tail: self.keeper_process(view.tail()),
            node: self.nodes[self.draw_index(self.nodes.len())],
        }
    }

    fn keeper_process(&self, name: Option<&Name>) -> ProcessId {
        let known = self.keeper_registry.process_by_name.lock().unwrap();
        name.and_then(|name| known.get(name).copied()).unwrap_or(self.keepers[0])
    }

    /// Sets a trap, by which the next promoting node crashes or is suspended in one phase of the promotion.
    fn trap_promotion(&self, seed: u64) {
        let phase = seed as usize / 2 % PROMOTION_PHASES.len();
        let mut state = self.simulation.lock();
        let pause = state.rng.chance(500).then_some(TRAP_TIME);
        state.trap = Some(Trap { trace_point: PROMOTION_PHASES[phase].to_owned(), pause });
    }

    /// Returns the processes that fail together. `None` stands for the replacement of a replica before a crash of the
    /// primary.
    fn choose_final_fault(&self, seed: u64, targets: &Targets) -> Option<FinalFault> {
        let Targets { primary, head, tail, node } = *targets;
        Some(match seed % 10 {
            0 => FinalFault::of("the primary", &[primary]),
            1 => FinalFault::of("a node", &[node]),
            2 => FinalFault::of("the head", &[head]),
            3 => FinalFault::of("the tail", &[tail]),
            4 => {
                let keeper = self.keepers[self.draw_index(self.keepers.len())];
                FinalFault::of("a machine with a node and a keeper", &[node, keeper])
            }
            5 => FinalFault::of("the primary and the tail", &[primary, tail]),
            6 => FinalFault::of("the primary and a node", &[primary, node]),
            7 => {
                let mut replicas = self.servers.iter().map(|server| server.pid).filter(|pid| *pid != primary);
                FinalFault { label: "a replica", processes: replicas.next().into_iter().collect() }
            }
            9 => return None,
            _ => {
                let zones = self.expendable_zones();
                let zone = zones[self.draw_index(zones.len())];
                FinalFault { label: "a zone", processes: self.processes_of_zone(zone) }
            }
        })
    }

    /// Drains and stops a replica, while a spare starts under a new name and address; then crashes the primary.
    fn replace_replica_then_crash_primary(self: &Arc<Self>, primary: ProcessId, power_loss: bool) -> String {
        let replica = (0..self.shape.replicas).find(|index| self.servers[*index].pid != primary).unwrap_or(0);
        self.set_draining(replica, true);
        self.simulation.restart(self.spares[0].pid);
        let stop_at = self.simulation.now() + REPLACEMENT_DRAIN;
        self.simulation.lock().trap_sprung_at = stop_at + PRIMARY_CRASH_DELAY;
        let replica_process = self.servers[replica].pid;
        self.simulation.schedule_action(stop_at, move |simulation| {
            simulation.crash(replica_process, false);
            let crash_at = simulation.now() + PRIMARY_CRASH_DELAY;
            simulation.schedule_action(crash_at, move |simulation| simulation.crash(primary, power_loss));
        });
        "a replica replaced under another name, then the primary".into()
    }

    /// Returns the zones with less than half of the keepers. Without any other zone no majority could repair the chain.
    fn expendable_zones(&self) -> Vec<usize> {
        let zones = self.shape.zones;
        let keepers = |zone: usize| (0..self.keepers.len()).filter(|index| index % zones == zone).count();
        (0..zones).filter(|zone| keepers(*zone) * 2 < self.keepers.len()).collect()
    }

    /// Returns all processes of a zone: its keepers, its nodes, and a server of each group.
    fn processes_of_zone(&self, zone: usize) -> Vec<ProcessId> {
        let (zones, replicas) = (self.shape.zones, self.shape.replicas);
        let mut processes = Vec::new();
        for all in [&self.keepers, &self.nodes] {
            let here = all.iter().enumerate().filter(|(index, _)| index % zones == zone);
            processes.extend(here.map(|(_, pid)| *pid));
        }
        for (index, server) in self.servers.iter().enumerate() {
            if (index / replicas + index % replicas) % zones == zone {
                processes.push(server.pid);
            }
        }
        processes
    }
}
