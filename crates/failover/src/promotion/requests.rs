//! The actions that each phase of a promotion requests, repeated until the phase is complete.
use super::{Phase, Promotion, PromotionAction};
use quincehatch_core::{Millis, Name, PrimaryAssignment};
use std::collections::BTreeSet;

/// The time between two requests for the same action.
const RETRY_INTERVAL: Millis = 300;
/// The time between two counts of the requests in flight.
const DRAIN_POLL_INTERVAL: Millis = 20;

impl Promotion {
    /// Requests the actions of the current phase, unless they were requested within the retry interval.
    pub(super) fn request(&mut self, now: Millis) {
        let interval = if self.phase == Phase::Draining { DRAIN_POLL_INTERVAL } else { RETRY_INTERVAL };
        if self.requested_at != 0 && now < self.requested_at + interval {
            return;
        }
        self.requested_at = now.max(1);
        match self.phase {
            Phase::AcquiringFence => {
                self.actions.push(PromotionAction::AcquireFence { key: self.idempotency_key("fence") });
            }
            Phase::Closing => {
                self.write_primary("close");
                // A failed primary has nothing to drain, so servers are fenced while nodes adopt the closed assignment.
                if !self.plan.planned {
                    self.fence_servers();
                }
            }
            Phase::Draining => self.actions.push(PromotionAction::CountInFlight),
            Phase::Fencing => {
                self.fence_servers();
                if self.plan.sync_group.is_some() {
                    self.actions.push(PromotionAction::ListServers);
                    self.actions.push(PromotionAction::QueryAcknowledged { fence: self.fence });
                }
            }
            Phase::Listing => self.write_primary("list"),
            Phase::Promoting => self.promote_chosen(),
            Phase::Naming => self.write_primary("name"),
            Phase::Done | Phase::Failed => {}
        }
    }

    fn idempotency_key(&self, step: &str) -> Name {
        format!("{}/{step}", self.plan.attempt).into()
    }

    fn write_primary(&mut self, step: &str) {
        let (key, primary) = (self.idempotency_key(step), self.assignment());
        self.actions.push(PromotionAction::WritePrimary { key, primary });
    }

    /// Returns the assignment to write in this phase. The store itself adds the earlier voter sets that are in force.
    fn assignment(&self) -> PrimaryAssignment {
        let server = if self.phase == Phase::Naming { self.chosen.clone() } else { None };
        let has_voters = matches!(self.phase, Phase::Naming | Phase::Listing);
        PrimaryAssignment {
            fence: self.fence,
            server,
            demoted: self.plan.old_primary.clone(),
            assigned_by: self.plan.coordinator.clone(),
            voters: if has_voters { self.next_voters() } else { Vec::new() },
            previous_voters: Vec::new(),
        }
    }

    /// Returns the planned voters and the chosen server, which is always a voter.
    pub(super) fn next_voters(&self) -> Vec<Name> {
        let voters: BTreeSet<&Name> = self.plan.voters.iter().chain(&self.chosen).collect();
        voters.into_iter().cloned().collect()
    }

    fn fence_servers(&mut self) {
        for server in self.plan.servers.clone() {
            // A suspended log of a direct group stays suspended, so it needs no second request.
            let is_suspended = self.plan.sync_group.is_some() && self.fenced.contains_key(&server);
            if !is_suspended {
                self.actions.push(PromotionAction::FenceServer { server, fence: self.fence });
            }
        }
    }

    fn promote_chosen(&mut self) {
        if let Some(server) = self.chosen.clone() {
            let (fence, voters) = (self.fence, self.next_voters());
            self.actions.push(PromotionAction::PromoteServer { server, fence, voters });
        }
    }
}
