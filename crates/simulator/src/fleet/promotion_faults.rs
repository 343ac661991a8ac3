//! Faults close to promotions: spares that start and crash, nodes that are stopped in the middle of a promotion, and
//! primaries that fail one after the other.
use super::faults::{self, FAULT_TIME_SPREAD, Fault, MIN_FAULT_TIME};
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use quincehatch_core::Millis;

/// Trace points of a promotion at which the promoting node is stopped.
const PROMOTION_PHASES: [&str; 6] =
    ["is closing", "is fencing", "chose", "is listing", "is promoting", "is naming"];
/// Time by which a trapped node is suspended longer than other faults last.
const EXTRA_TRAP_TIME: Millis = 2_000;

/// Draws one fault; a quarter of them are of any kind. The order of draws is part of what a seed means.
pub fn draw_promotion_fault(fleet: &SimulatedFleet) -> Fault {
    let below = |limit: usize| fleet.simulation.lock().rng.below(limit as u64) as usize;
    let kind = below(100);
    let group = below(fleet.shape.groups);
    let time = MIN_FAULT_TIME + below(FAULT_TIME_SPREAD as usize) as Millis;
    let primary = fleet.assigned_primary(group);
    let drawn_server = group * fleet.shape.replicas + below(fleet.shape.replicas);
    match kind {
        0..15 => {
            let server = fleet.servers.iter().position(|server| server.pid == primary);
            Fault::Drain { server: server.unwrap_or(drawn_server), time }
        }
        15..28 => Fault::Drain { server: drawn_server, time },
        28..50 => {
            let trace_point = PROMOTION_PHASES[below(PROMOTION_PHASES.len())].to_owned();
            let pause = (below(2) == 0).then_some(EXTRA_TRAP_TIME + time);
            Fault::Trap(Trap { trace_point, pause })
        }
        50..56 => Fault::Crash(primary, time),
        56..62 => Fault::PowerOff(primary, time),
        62..68 => Fault::Pause(primary, time),
        68..75 => Fault::Crash(fleet.spares[group].pid, time),
        _ => faults::draw_fault(fleet),
    }
}

impl SimulatedFleet {
    /// Returns the newest primary of the group that any node knows; the group's first server if none is known.
    fn assigned_primary(&self, group: usize) -> ProcessId {
        let group_name = format!("g{}", group + 1);
        let nodes = self.live_nodes.iter().filter_map(|node| node.lock().unwrap().clone());
        let known = nodes.filter_map(|node| node.proxy.registry.primary(&group_name));
        let newest = known.max_by_key(|primary| primary.fence);
        let name = newest.and_then(|primary| primary.server);
        let found = name.and_then(|name| self.server_process(&name));
        found.unwrap_or(self.servers[group * self.shape.replicas].pid)
    }
}
