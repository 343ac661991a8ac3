//! The promoter's stand-in, and what servers do when they come back.
use super::site::{PendingCommit, ServerGroup, State};
use crate::fleet::core::Simulation;
use quincehatch_core::{FencingToken, Millis, Role};
use quincehatch_proxy::ports::PromotionOutcome;
use std::sync::Arc;

/// A replica that was cut back declines everything for so long.
const BUSY: Millis = 120;

impl ServerGroup {
    /// `POST` of a promotion: the server named leads some hundred ms later, with what it has received then.
    pub fn promote(
        self: &Arc<Self>,
        c: &Arc<Simulation>,
        server: &str,
        fence: FencingToken,
    ) -> PromotionOutcome {
        let now = c.now();
        let there = self.with(|st| {
            st.book.event_log.push(format!("{now} {server} is to lead under {fence}, seen {}", st.fence));
            let low = fence < st.fence;
            st.fence = st.fence.max(fence);
            st.index(server).filter(|_| !low)
        });
        let Some(i) = there.filter(|i| c.lock().processes[self.with(|s| s.servers[*i].pid)].up) else {
            return PromotionOutcome::Rejected;
        };
        if self.with(|st| st.lead() == Some(i)) {
            return PromotionOutcome::Done;
        }
        let after = now + 150 + c.lock().rng.below(400);
        // One promotion takes effect after the other, in the order in which they were taken.
        let at = self.with(|st| {
            st.promoting = after.max(st.promoting + 1);
            st.promoting
        });
        let (site, server) = (self.clone(), server.to_owned());
        c.schedule_action(at, move |c| {
            let up = |st: &State| c.lock().processes[st.servers[i].pid].up;
            let gone = site.with(|st| {
                let same = st.servers[i].name == server && up(st) && st.lead() != Some(i);
                if same { st.lead_now(c, i) } else { Vec::new() }
            });
            site.fail_commits(c, gone);
        });
        PromotionOutcome::Done
    }
}

impl State {
    fn lead_now(&mut self, c: &Arc<Simulation>, i: usize) -> Vec<PendingCommit> {
        let now = c.now();
        let term = self.servers.iter().map(|s| s.term.max(s.held)).max().unwrap_or(0) + 1;
        let s = &mut self.servers[i];
        (s.role, s.term, s.held) = (Role::Primary, term, 0);
        s.applied = s.log.len();
        let (log, name, end) = (s.log.clone(), s.name.clone(), s.end());
        self.promotions += 1;
        self.book.event_log.push(format!("{now} {name} leads term {term} from {end:?}"));
        self.book.lost(now, &self.servers[i], "was promoted");
        let mut gone = Vec::new();
        for (_, s) in self.servers.iter_mut().enumerate().filter(|(j, _)| *j != i) {
            let up = c.lock().processes[s.pid].up;
            if s.role == Role::Primary {
                s.role = Role::Replica;
            }
            // One that is off learns of it when it is back.
            if up && s.truncate_to(&log) {
                s.busy_until = now + BUSY;
                let lacks = |w: &PendingCommit| w.entry.at.number as usize > s.log.len();
                let (out, stay) = std::mem::take(&mut s.waiting).into_iter().partition(lacks);
                s.waiting = stay;
                gone.extend::<Vec<_>>(out);
            }
        }
        gone
    }
    /// A server's process is gone: its links, and what it had in hand.
    pub fn server_stopped(&mut self, i: usize, dark: bool) -> Vec<PendingCommit> {
        let of: Vec<u64> = self.links.iter().filter(|(_, l)| l.server == i).map(|(id, _)| *id).collect();
        for id in of {
            match dark {
                true => drop(self.links.remove(&id)),
                false => self.broke(id),
            }
        }
        let s = &mut self.servers[i];
        s.busy = 0;
        std::mem::take(&mut s.waiting)
    }
    /// It is back with its log: as a replica if another was promoted meanwhile.
    pub fn server_started(&mut self, i: usize, now: Millis) {
        let lead = self.lead().filter(|l| *l != i);
        let log = lead.map(|l| self.servers[l].log.clone());
        let s = &mut self.servers[i];
        (s.held, s.busy, s.busy_until, s.deaf, s.lose) = (0, 0, 0, false, 0);
        if let Some(log) = log {
            s.role = Role::Replica;
            s.truncate_to(&log);
        }
        let (name, role, end) = (s.name.clone(), s.role, s.end());
        self.book.event_log.push(format!("{now} {name} is back as {role:?} at {end:?}"));
    }
}
