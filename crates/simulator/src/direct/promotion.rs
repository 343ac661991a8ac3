//! The promoter's stand-in, and what servers do when they come back.
use super::server_group::{GroupState, PendingCommit, ServerGroup};
use crate::fleet::simulation::Simulation;
use quincehatch_core::{FencingToken, Millis, Role};
use quincehatch_proxy::ports::PromotionOutcome;
use std::sync::Arc;

/// A replica that was cut back declines everything for so long.
const TRUNCATION_BUSY_MS: Millis = 120;

impl ServerGroup {
    /// `POST` of a promotion: the server named leads some hundred ms later, with what it has received then.
    pub fn accept_promotion(
        self: &Arc<Self>,
        c: &Arc<Simulation>,
        server: &str,
        fence: FencingToken,
    ) -> PromotionOutcome {
        let now = c.now();
        let there = self.with(|st| {
            st.ledger.event_log.push(format!("{now} {server} is to lead under {fence}, seen {}", st.fence));
            let low = fence < st.fence;
            st.fence = st.fence.max(fence);
            st.server_named(server).filter(|_| !low)
        });
        let Some(i) = there.filter(|i| c.lock().processes[self.with(|s| s.servers[*i].pid)].up) else {
            return PromotionOutcome::Rejected;
        };
        if self.with(|st| st.primary() == Some(i)) {
            return PromotionOutcome::Done;
        }
        let after = now + 150 + c.lock().rng.below(400);
        // One promotion takes effect after the other, in the order in which they were taken.
        let at = self.with(|st| {
            st.last_promotion_effective = after.max(st.last_promotion_effective + 1);
            st.last_promotion_effective
        });
        let (site, server) = (self.clone(), server.to_owned());
        c.schedule_action(at, move |c| {
            let up = |st: &GroupState| c.lock().processes[st.servers[i].pid].up;
            let gone = site.with(|st| {
                let same = st.servers[i].name == server && up(st) && st.primary() != Some(i);
                if same { st.make_primary(c, i) } else { Vec::new() }
            });
            site.fail_commits(c, gone);
        });
        PromotionOutcome::Done
    }
}

impl GroupState {
    fn make_primary(&mut self, c: &Arc<Simulation>, i: usize) -> Vec<PendingCommit> {
        let now = c.now();
        let term = self.servers.iter().map(|s| s.term.max(s.suspended_term)).max().unwrap_or(0) + 1;
        let s = &mut self.servers[i];
        (s.role, s.term, s.suspended_term) = (Role::Primary, term, 0);
        s.visible = s.log.len();
        let (log, name, end) = (s.log.clone(), s.name.clone(), s.log_end());
        self.promotions += 1;
        self.ledger.event_log.push(format!("{now} {name} leads term {term} from {end:?}"));
        self.ledger.check_log_complete(now, &self.servers[i], "was promoted");
        let mut gone = Vec::new();
        for (_, s) in self.servers.iter_mut().enumerate().filter(|(j, _)| *j != i) {
            let up = c.lock().processes[s.pid].up;
            if s.role == Role::Primary {
                s.role = Role::Replica;
            }
            // One that is off learns of it when it is back.
            if up && s.truncate_to(&log) {
                s.busy_until = now + TRUNCATION_BUSY_MS;
                let lacks = |w: &PendingCommit| w.entry.position.number as usize > s.log.len();
                let (out, stay) = std::mem::take(&mut s.pending_commits).into_iter().partition(lacks);
                s.pending_commits = stay;
                gone.extend::<Vec<_>>(out);
            }
        }
        gone
    }
    /// A server's process is gone: its links, and what it had in hand.
    pub fn server_stopped(&mut self, i: usize, dark: bool) -> Vec<PendingCommit> {
        let of: Vec<u64> =
            self.connections.iter().filter(|(_, l)| l.server == i).map(|(id, _)| *id).collect();
        for id in of {
            match dark {
                true => drop(self.connections.remove(&id)),
                false => self.server_closed(id),
            }
        }
        let s = &mut self.servers[i];
        s.slots_in_use = 0;
        std::mem::take(&mut s.pending_commits)
    }
    /// It is back with its log: as a replica if another was promoted meanwhile.
    pub fn server_started(&mut self, i: usize, now: Millis) {
        let lead = self.primary().filter(|l| *l != i);
        let log = lead.map(|l| self.servers[l].log.clone());
        let s = &mut self.servers[i];
        (s.suspended_term, s.slots_in_use, s.busy_until, s.replication_stopped, s.replies_to_lose) =
            (0, 0, 0, false, 0);
        if let Some(log) = log {
            s.role = Role::Replica;
            s.truncate_to(&log);
        }
        let (name, role, end) = (s.name.clone(), s.role, s.log_end());
        self.ledger.event_log.push(format!("{now} {name} is back as {role:?} at {end:?}"));
    }
}
