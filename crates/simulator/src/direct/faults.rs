//! What goes wrong in a held fleet, drawn from the seed.
use super::operator::drain_and_replace;
use super::server_group::Server;
use super::setup::{DirectFleet, SERVERS};
use crate::fleet::simulation::{ProcessId, Trap};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Fault {
    Crash(ProcessId, bool, Millis),
    Pause(ProcessId, Millis),
    Partition(ProcessId, ProcessId, bool, Millis),
    /// Cut off from all others; with the flag only what it sends is lost.
    Isolate(ProcessId, bool, Millis),
    /// Some are cut off from the rest; with the flag only what they send is lost.
    Split(Vec<ProcessId>, bool, Millis),
    /// A node and the lead are cut off from all others.
    IsolatePrimaryWithNode(usize, Millis),
    /// The lead, slowed, and a replica are reached by one node only.
    PrimaryAndReplicaReachOneNode(usize, Millis),
    /// Every keeper loses its power in the same moment.
    KeeperPowerLoss(Millis),
    PacketLoss(u64, Millis),
    ReplicationStopped(usize, Millis),
    Lag(usize, Millis),
    Slow(usize, Millis),
    LoseReplies(usize, u32),
    /// The lead crashes, dark or not, while a replica is deaf, dark, lagging or held back.
    PrimaryAndReplica(bool, u64, Millis),
    /// Two leads are lost one shortly after the other.
    TwoPrimaries(Millis, Millis),
    Drain(usize),
    /// Whoever comes to this point of a promotion next stands still for so long, or dies.
    Trap(&'static str, Option<Millis>),
    /// An operator wants a hand-over.
    RequestHandover,
}

/// Where a promotion may be caught.
const PROMOTION_PHASES: &[&str] =
    &["is begun", "is closing", "is fencing", "chose", "is promoting", "is naming"];

impl DirectFleet {
    /// Everything that may be cut off or stopped.
    fn faultable_processes(&self) -> Vec<ProcessId> {
        let servers = self.group.with(|s| s.servers.iter().map(|s| s.pid).collect::<Vec<_>>());
        self.keepers.iter().copied().chain(self.nodes.iter().map(|n| n.pid)).chain(servers).collect()
    }
    fn draw_fault(&self) -> Fault {
        let all = self.faultable_processes();
        let promoter = self.group.with(|s| s.promoter);
        let mut m = self.core.lock();
        let r = &mut m.rng;
        let p = *r.pick(&all).unwrap_or(&0);
        let wider: Vec<ProcessId> = all.iter().copied().chain([promoter]).collect();
        let q = *r.pick(&wider).unwrap_or(&0);
        let (s, ms, yes) = (r.below(SERVERS as u64) as usize, 200 + r.below(6_500), r.chance(500));
        match r.below(126) {
            116..126 => Fault::Trap(r.pick(PROMOTION_PHASES).copied().unwrap_or("chose"), yes.then_some(ms)),
            100..106 => {
                let some = wider.iter().copied().filter(|_| r.chance(300)).collect();
                Fault::Split(some, r.chance(300), ms + 2_500)
            }
            106..111 => Fault::IsolatePrimaryWithNode(r.below(self.nodes.len() as u64) as usize, ms + 5_000),
            111..116 => {
                Fault::PrimaryAndReplicaReachOneNode(r.below(self.nodes.len() as u64) as usize, ms + 2_500)
            }
            0..16 => Fault::Crash(p, r.chance(400), ms),
            16..28 => Fault::Pause(p, ms),
            28..42 => Fault::Partition(p, q, yes, ms),
            42..48 => Fault::Isolate(p, yes, ms),
            48..51 => Fault::KeeperPowerLoss(ms / 2),
            51..56 => Fault::PacketLoss(20 + r.below(150), ms),
            56..61 => Fault::ReplicationStopped(s, ms),
            61..66 => Fault::Lag(s, ms),
            66..70 => Fault::Slow(s, ms),
            70..77 => Fault::LoseReplies(s, 1 + r.below(6) as u32),
            77..86 => Fault::PrimaryAndReplica(yes, r.below(4), ms),
            86..91 => Fault::TwoPrimaries(100 + r.below(2_500), ms),
            91..95 => Fault::RequestHandover,
            _ => Fault::Drain(s),
        }
    }

    /// Draws faults for a stretch of time; some run side by side.
    pub fn schedule_faults(self: &Arc<Self>, from: Millis, len: Millis) {
        let mut t = from;
        loop {
            t += 300 + self.core.lock().rng.below(4_000);
            if t >= from + len {
                return;
            }
            let x = self.clone();
            self.core.schedule_action(t, move |_| {
                let f = x.draw_fault();
                x.inject(f);
            });
        }
    }
    fn schedule_after(self: &Arc<Self>, ms: Millis, f: impl FnOnce(&Arc<DirectFleet>) + Send + 'static) {
        let x = self.clone();
        self.core.schedule_action(self.core.now() + ms, move |_| f(&x));
    }
    /// This process, and the links to it, are in trouble until then.
    fn mark_disturbed(&self, p: ProcessId, ms: Millis) {
        let until = self.core.now() + ms;
        self.group.with(|s| {
            let t = s.disturbed_until.entry(p).or_default();
            *t = (*t).max(until);
            if self.keepers.contains(&p) {
                s.keepers_disturbed_until = s.keepers_disturbed_until.max(until);
            }
        });
    }
    fn mark_all_disturbed(&self, ms: Millis) {
        self.faultable_processes().into_iter().for_each(|p| self.mark_disturbed(p, ms));
    }
    fn change_server_for(self: &Arc<Self>, i: usize, ms: Millis, on: fn(&mut Server), off: fn(&mut Server)) {
        self.group.with(|s| on(&mut s.servers[i]));
        self.schedule_after(ms, move |l| l.group.with(|s| off(&mut s.servers[i])));
    }
    fn crash_temporarily(self: &Arc<Self>, p: ProcessId, dark: bool, ms: Millis) {
        self.mark_disturbed(p, ms);
        self.crash_process(p, dark);
        self.schedule_after(ms, move |l| l.start_process(p));
    }
    fn current_primary(&self) -> (usize, ProcessId) {
        self.group.with(|s| {
            let i = s.primary().unwrap_or(0);
            (i, s.servers[i].pid)
        })
    }
    /// Cuts some off from all but themselves and `but`.
    fn partition_from_rest(
        self: &Arc<Self>,
        some: &[ProcessId],
        but: &[ProcessId],
        one_way: bool,
        ms: Millis,
    ) {
        let promoter = self.group.with(|s| s.promoter);
        let rest = self.faultable_processes().into_iter().chain([promoter]);
        let rest: Vec<ProcessId> = rest.filter(|q| !some.contains(q) && !but.contains(q)).collect();
        let pairs: Vec<(ProcessId, ProcessId)> =
            some.iter().flat_map(|p| rest.iter().map(|q| (*p, *q))).collect();
        self.mark_all_disturbed(ms);
        pairs.iter().for_each(|(p, q)| self.core.partition(*p, *q, !one_way));
        self.schedule_after(ms, move |l| pairs.iter().for_each(|(p, q)| l.core.heal_partition(*p, *q)));
    }
    fn crash_primary(self: &Arc<Self>, dark: bool, ms: Millis) -> usize {
        let (i, pid) = self.current_primary();
        self.crash_temporarily(pid, dark, ms);
        i
    }

    pub fn inject(self: &Arc<Self>, f: Fault) {
        let (c, now) = (&self.core, self.core.now());
        c.log(&format!("fault {f:?}"));
        self.group.with(|s| s.ledger.event_log.push(format!("{now} fault {f:?}")));
        c.lock().crashes_enabled = true;
        match f {
            Fault::Crash(p, dark, ms) => self.crash_temporarily(p, dark, ms),
            Fault::Pause(p, ms) => {
                self.mark_disturbed(p, ms);
                c.suspend(p, ms);
            }
            Fault::Partition(p, q, both, ms) => {
                self.mark_disturbed(p, ms);
                self.mark_disturbed(q, ms);
                c.partition(p, q, both);
                self.schedule_after(ms, move |l| l.core.heal_partition(p, q));
            }
            Fault::Isolate(p, one_way, ms) => {
                self.mark_disturbed(p, ms);
                let others = self.faultable_processes().into_iter().chain([self.group.with(|s| s.promoter)]);
                let others: Vec<ProcessId> = others.filter(|q| *q != p).collect();
                others.iter().for_each(|q| c.partition(p, *q, !one_way));
                self.schedule_after(ms, move |l| others.iter().for_each(|q| l.core.heal_partition(p, *q)));
            }
            Fault::Split(some, one_way, ms) => self.partition_from_rest(&some, &[], one_way, ms),
            Fault::IsolatePrimaryWithNode(n, ms) => {
                let lead = self.current_primary();
                self.partition_from_rest(&[self.nodes[n].pid, lead.1], &[], false, ms);
            }
            Fault::PrimaryAndReplicaReachOneNode(n, ms) => {
                let (i, pid) = self.current_primary();
                let other = self.group.with(|s| s.servers[(i + 1) % SERVERS].pid);
                let third = self.group.with(|s| s.servers[(i + 2) % SERVERS].pid);
                self.change_server_for(i, ms, |s| s.extra_latency = 150, |s| s.extra_latency = 0);
                self.partition_from_rest(&[pid, other], &[self.nodes[n].pid, third], false, ms);
            }
            Fault::KeeperPowerLoss(ms) => {
                self.keepers.clone().iter().for_each(|k| self.crash_temporarily(*k, false, ms))
            }
            Fault::PacketLoss(pm, ms) => {
                self.mark_all_disturbed(ms);
                {
                    let mut m = c.lock();
                    (m.loss_per_mille, m.delay_range) = (pm, (1, 80));
                }
                self.schedule_after(ms, |l| {
                    let mut m = l.core.lock();
                    (m.loss_per_mille, m.delay_range) = (0, (1, 12));
                });
            }
            Fault::ReplicationStopped(s, ms) => self.change_server_for(
                s,
                ms,
                |s| s.replication_stopped = true,
                |s| s.replication_stopped = false,
            ),
            Fault::Lag(s, ms) => {
                self.change_server_for(s, ms, |s| s.replication_lag = 900, |s| s.replication_lag = 5)
            }
            Fault::Slow(s, ms) => {
                self.change_server_for(s, ms, |s| s.extra_latency = 300, |s| s.extra_latency = 0)
            }
            Fault::LoseReplies(s, n) => self.group.with(|st| st.servers[s].replies_to_lose = n),
            Fault::PrimaryAndReplica(dark, what, ms) => {
                let i = self.crash_primary(dark, ms);
                let other = (i + 1 + what as usize % 2) % SERVERS;
                let pid = self.group.with(|s| s.servers[other].pid);
                match what {
                    0 => self.change_server_for(
                        other,
                        ms,
                        |s| s.replication_stopped = true,
                        |s| s.replication_stopped = false,
                    ),
                    1 => self.crash_temporarily(pid, true, ms / 2),
                    2 => self.crash_temporarily(pid, false, 400),
                    _ => c.suspend(pid, ms / 2),
                }
            }
            Fault::TwoPrimaries(gap, ms) => {
                self.crash_primary(gap % 2 == 0, ms);
                self.schedule_after(gap, move |l| {
                    l.crash_primary(false, ms);
                });
            }
            Fault::Trap(point, pause) => {
                c.lock().trap = Some(Trap { trace_point: point.into(), pause });
            }
            Fault::Drain(i) => {
                if !self.group.with(|s| s.servers.iter().any(|s| s.draining)) {
                    let l = self.clone();
                    c.run_in(self.clients, || seam::spawn(drain_and_replace(l, i)));
                }
            }
            Fault::RequestHandover => {
                for n in &self.nodes {
                    if let Some(live) = n.live() {
                        live.node
                            .promotion_state
                            .handover_requests
                            .lock()
                            .unwrap()
                            .insert(super::setup::GROUP.into(), None);
                    }
                }
            }
        }
    }
}
