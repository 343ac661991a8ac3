//! Breakdowns that are final (§9.1): one at a time, or two that belong together, and nothing is healed after.
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use std::sync::Arc;

/// What breaks down, by the seed; tells what it was.
pub fn inject_final_fault(l: &Arc<SimulatedFleet>, seed: u64) -> String {
    let dark = l.core.lock().rng.chance(500);
    let fleet = l.live_nodes.iter().find_map(|f| f.lock().unwrap().clone());
    let lead = fleet.as_ref().and_then(|f| f.proxy.registry.primary("g1")).and_then(|x| x.server);
    let lead = l
        .servers
        .iter()
        .find(|s| lead.as_deref() == Some(s.address.name.as_str()))
        .map_or(l.servers[0].pid, |s| s.pid);
    let view = fleet.map(|f| f.store_client.view()).unwrap_or_default();
    let at = |n: Option<&quincehatch_core::Name>| {
        n.and_then(|n| l.keeper_registry.process_by_name.lock().unwrap().get(n).copied())
    };
    let (head, tail) = (at(view.head()).unwrap_or(l.keepers[0]), at(view.tail()).unwrap_or(l.keepers[0]));
    let draw = |n: usize| l.core.lock().rng.below(n as u64) as usize;
    let node = l.nodes[draw(l.nodes.len())];
    // Half of the time whoever promotes dies, or stands still, in one phase of it.
    if seed % 2 == 1 {
        let point = ["is closing", "is fencing", "chose", "is promoting", "is naming"][seed as usize / 2 % 5]
            .to_owned();
        let pause = l.core.lock().rng.chance(500).then_some(3_000);
        l.core.lock().trap = Some(Trap { trace_point: point, pause });
    }
    let (what, of): (&str, Vec<ProcessId>) = match seed % 10 {
        0 => ("the lead", vec![lead]),
        1 => ("a node", vec![node]),
        2 => ("the head", vec![head]),
        3 => ("the tail", vec![tail]),
        4 => ("a machine with a node and a keeper", vec![node, l.keepers[draw(l.keepers.len())]]),
        5 => ("the lead and the tail", vec![lead, tail]),
        6 => ("the lead and a node", vec![lead, node]),
        7 => ("a replica", l.servers.iter().map(|s| s.pid).filter(|p| *p != lead).take(1).collect()),
        9 => return l.replace_replica_then_crash_primary(lead, dark),
        _ => {
            let n = l.shape.zones;
            let keepers = |d: usize| (0..l.keepers.len()).filter(|i| i % n == d).count();
            let may: Vec<usize> = (0..n).filter(|d| keepers(*d) * 2 < l.keepers.len()).collect();
            ("a district", l.processes_of_zone(may[draw(may.len())]))
        }
    };
    of.iter().for_each(|p| l.core.crash(*p, dark));
    let s = format!("{what}, {}", if dark { "without a word" } else { "links reset" });
    l.core.log(&format!("final: {s}"));
    s
}

impl SimulatedFleet {
    /// A replica leaves and another comes under a new name and address; then the lead dies.
    fn replace_replica_then_crash_primary(self: &Arc<Self>, lead: ProcessId, dark: bool) -> String {
        let old = (0..3).find(|i| self.servers[*i].pid != lead).unwrap_or(0);
        self.set_draining(old, true);
        self.core.restart(self.spares[0].pid);
        let (l, at) = (self.clone(), self.core.now() + 7_500);
        self.core.lock().trap_sprung_at = at + 3_000;
        self.core.schedule_action(at, move |c| {
            c.crash(l.servers[old].pid, false);
            c.schedule_action(c.now() + 3_000, move |c| c.crash(lead, dark));
        });
        "a replica replaced under another name, then the lead".into()
    }
    /// All machines of a district: its nodes, a server of each group, and the keepers that stand there. Where half
    /// of the keepers or more stand in one district, its loss is not ridden out: no majority could mend the chain.
    fn processes_of_zone(&self, d: usize) -> Vec<ProcessId> {
        let n = self.shape.zones;
        let here = |(i, p): (usize, &ProcessId)| (i % n == d).then_some(*p);
        let keepers = self.keepers.iter().enumerate().filter_map(here);
        let nodes = self.nodes.iter().enumerate().filter_map(here);
        let copies = self.shape.replicas;
        let server =
            |(i, s): (usize, &super::setup::Server)| ((i / copies + i % copies) % n == d).then_some(s.pid);
        let servers = self.servers.iter().enumerate().filter_map(server);
        keepers.chain(nodes).chain(servers).collect()
    }
}
