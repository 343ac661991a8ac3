//! The simulated promoter of the platform, and the changes of a server's state when it stops and starts.
use super::server::PendingCommit;
use super::server_group::{GroupState, ServerGroup};
use crate::fleet::simulation::Simulation;
use quincehatch_core::{FencingToken, Millis, Role};
use quincehatch_proxy::ports::PromotionOutcome;
use std::sync::Arc;

/// A replica whose log was truncated rejects all requests as busy for this long.
const TRUNCATION_TIME: Millis = 120;
/// Shortest time from a promotion's acceptance to its effect, and the range of the random addition to it.
const MIN_PROMOTION_TIME: Millis = 150;
const PROMOTION_TIME_SPREAD: Millis = 400;

impl ServerGroup {
    /// Accepts or rejects a promotion. An accepted server becomes primary after a random delay, with the log that it
    /// has received by then.
    pub fn accept_promotion(
        self: &Arc<Self>,
        simulation: &Arc<Simulation>,
        name: &str,
        fence: FencingToken,
    ) -> PromotionOutcome {
        let now = simulation.now();
        let is_up = |pid: usize| simulation.lock().processes[pid].is_up;
        let target = self.with(|state| state.promotion_target(now, name, fence));
        let target = target.filter(|server| is_up(self.with(|state| state.servers[*server].pid)));
        let Some(server) = target else { return PromotionOutcome::Rejected };
        if self.with(|state| state.primary() == Some(server)) {
            return PromotionOutcome::Done;
        }
        let drawn = simulation.lock().rng.below(PROMOTION_TIME_SPREAD);
        let earliest = now + MIN_PROMOTION_TIME + drawn;
        // Promotions take effect one after the other, in the order of their acceptance.
        let effective = self.with(|state| {
            state.last_promotion_effective = earliest.max(state.last_promotion_effective + 1);
            state.last_promotion_effective
        });
        let (group, name) = (self.clone(), name.to_owned());
        simulation.schedule_action(effective, move |simulation| {
            let failed = group.with(|state| state.apply_promotion(simulation, server, &name));
            group.fail_commits(simulation, failed);
        });
        PromotionOutcome::Done
    }
}

impl GroupState {
    /// Returns the server to promote, unless the fencing token is lower than one that the promoter has seen.
    fn promotion_target(&mut self, now: Millis, name: &str, fence: FencingToken) -> Option<usize> {
        let seen = self.fence;
        self.ledger.event_log.push(format!("{now} {name} is to be promoted under {fence}, seen {seen}"));
        self.fence = seen.max(fence);
        self.server_named(name).filter(|_| fence >= seen)
    }

    /// Applies an accepted promotion, unless its server has been replaced, stopped or promoted since. Returns the
    /// commits that are lost with it.
    fn apply_promotion(&mut self, simulation: &Simulation, server: usize, name: &str) -> Vec<PendingCommit> {
        let target = &self.servers[server];
        let still_valid = target.name == name && simulation.lock().processes[target.pid].is_up;
        if !still_valid || self.primary() == Some(server) {
            return Vec::new();
        }
        self.make_primary(simulation, server)
    }

    /// Makes a server the primary of a new term. Returns the pending commits of other servers that this truncates.
    fn make_primary(&mut self, simulation: &Simulation, promoted: usize) -> Vec<PendingCommit> {
        let now = simulation.now();
        let highest_term = self.servers.iter().map(|server| server.term.max(server.suspended_term)).max();
        let term = highest_term.unwrap_or(0) + 1;
        let primary = &mut self.servers[promoted];
        primary.role = Role::Primary;
        primary.term = term;
        primary.suspended_term = 0;
        primary.visible = primary.log.len();
        let (log, name, end) = (primary.log.clone(), primary.name.clone(), primary.log_end());
        self.promotions += 1;
        self.ledger.event_log.push(format!("{now} {name} is primary of term {term} from {end:?}"));
        self.ledger.check_log_complete(now, &self.servers[promoted], "was promoted");
        let mut failed = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate() {
            if index == promoted {
                continue;
            }
            server.role = Role::Replica;
            // A server that is down truncates its log when it starts.
            let is_up = simulation.lock().processes[server.pid].is_up;
            if is_up && server.truncate_to(&log) {
                server.busy_until = now + TRUNCATION_TIME;
                let end = server.log.len();
                let is_lost = |commit: &PendingCommit| commit.entry.position.number as usize > end;
                let pending = std::mem::take(&mut server.pending_commits);
                let (lost, retained): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_lost);
                server.pending_commits = retained;
                failed.extend(lost);
            }
        }
        failed
    }

    /// Closes a stopped server's connections. Returns its pending commits, which it can no longer answer.
    pub fn server_stopped(&mut self, server: usize, power_loss: bool) -> Vec<PendingCommit> {
        for id in self.connections_of_server(server) {
            if power_loss {
                self.connections.remove(&id);
            } else {
                self.break_connection(id);
            }
        }
        let server = &mut self.servers[server];
        server.slots_in_use = 0;
        std::mem::take(&mut server.pending_commits)
    }

    /// Restores a started server with its log. It becomes a replica if another server has been promoted meanwhile.
    pub fn server_started(&mut self, index: usize, now: Millis) {
        let other_primary = self.primary().filter(|primary| *primary != index);
        let primary_log = other_primary.map(|primary| self.servers[primary].log.clone());
        let server = &mut self.servers[index];
        server.suspended_term = 0;
        server.slots_in_use = 0;
        server.busy_until = 0;
        server.replication_stopped = false;
        server.replies_to_lose = 0;
        if let Some(log) = primary_log {
            server.role = Role::Replica;
            server.truncate_to(&log);
        }
        let (name, role, end) = (server.name.clone(), server.role, server.log_end());
        self.ledger.event_log.push(format!("{now} {name} is back as {role:?} at {end:?}"));
    }
}
