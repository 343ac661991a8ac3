//! Faults that lie close to changes of hands (§9.1): spares that arrive and fall, whoever promotes stopped midway, and
//! leads lost one after the other.
use super::faults::{self, Fault};
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};

/// Phases in which whoever promotes is stopped.
const PROMOTION_PHASES: [&str; 6] =
    ["is closing", "is fencing", "chose", "is listing", "is promoting", "is naming"];

/// Draws one fault; every fourth is one of any kind.
pub fn draw_promotion_fault(l: &SimulatedFleet) -> Fault {
    let below = |n: usize| l.core.lock().rng.below(n as u64) as usize;
    let (kind, g, ms) = (below(100), below(l.shape.groups), 200 + below(6_500) as u64);
    let lead = l.assigned_primary(g);
    let server = g * l.shape.replicas + below(l.shape.replicas);
    match kind {
        0..15 => Fault::Drain(l.servers.iter().position(|s| s.pid == lead).unwrap_or(server), ms),
        15..28 => Fault::Drain(server, ms),
        28..50 => {
            let point = PROMOTION_PHASES[below(PROMOTION_PHASES.len())].to_owned();
            Fault::Trap(Trap { trace_point: point, pause: (below(2) == 0).then_some(2_000 + ms) })
        }
        50..56 => Fault::Crash(lead, ms),
        56..62 => Fault::PowerOff(lead, ms),
        62..68 => Fault::Pause(lead, ms),
        68..75 => Fault::Crash(l.spares[g].pid, ms),
        _ => faults::draw_fault(l),
    }
}

impl SimulatedFleet {
    /// The server that some node holds to lead the group; the first where none does.
    fn assigned_primary(&self, g: usize) -> ProcessId {
        let group = format!("g{}", g + 1);
        let known = self.live_nodes.iter().filter_map(|f| f.lock().unwrap().clone());
        let name = known.filter_map(|f| f.proxy.registry.primary(&group)).max_by_key(|l| l.fence);
        let name = name.and_then(|l| l.server);
        let mut all = self.servers.iter().chain(&self.spares);
        let at = all.find(|s| name.as_deref() == Some(s.address.name.as_str()));
        at.map_or(self.servers[g * self.shape.replicas].pid, |s| s.pid)
    }
}
