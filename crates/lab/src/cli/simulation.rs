//! The options of the simulator.
use quincehatch_simulator::control::Allowed;

/// The kind of world that the simulator runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimulatedWorld {
    /// A whole cluster, servers over the pooled path.
    Pooled,
    /// A whole cluster, servers over their own protocol.
    Direct,
    /// The control plane alone.
    ControlPlane,
}

/// Options of a simulation.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    /// The kind of world.
    pub world: SimulatedWorld,
    /// How many seeds.
    pub seeds: u64,
    /// The first seed.
    pub first_seed: u64,
    /// Number of keepers.
    pub keepers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// The name of an injected bug.
    pub injected_bug: Option<String>,
    /// Whether each seed has one permanent fault that is never healed.
    pub permanent_fault: bool,
    /// Whether faults are injected close to promotions.
    pub promotion_faults: bool,
    /// Whether servers on direct connections leave while their last heartbeats are delayed.
    pub departures: bool,
    /// Whether the promoter of direct servers carries calls out late.
    pub slow_promoter: bool,
    /// Whether direct servers join at new addresses while their first heartbeats are delayed.
    pub late_joins: bool,
    /// Faults that the code is known not to tolerate and that are drawn nevertheless.
    pub allowed: Allowed,
}

impl SimulationOptions {
    /// Returns whether events are printed, which is the case for a single seed.
    pub fn is_verbose(&self) -> bool {
        self.seeds == 1
    }
}
