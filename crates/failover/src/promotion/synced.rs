//! The choosing step where commits go by receiving replicas (§5.5).
use super::{Phase, Promotion};
use crate::sync::{Case, WAIT};
use quincehatch_core::Millis;

impl Promotion {
    pub(super) fn choose_synced(&mut self, now: Millis) {
        let Some(group) = self.plan.sync_group.clone() else { return };
        let case = Case {
            group: &group,
            still: &self.fenced,
            old: self.plan.old_primary.as_ref(),
            acked: self.acked,
            waited: now >= self.since + WAIT,
        };
        let Some((server, end)) = case.choose(self.plan.preferred.as_ref()) else { return };
        // Where there are others that may yet answer, one that leaves or ailed is not taken at once.
        let poor = group.leaving.contains(&server) || self.plan.old_primary.as_ref() == Some(&server);
        if poor && now < self.since + OTHERS && self.fenced.len() < self.plan.servers.len() {
            return;
        }
        self.say(&format!(
            "chose {server} at {}.{}, {} stand still",
            end.fence,
            end.number,
            self.fenced.len()
        ));
        self.chosen = Some(server);
        self.turn(now, Phase::Promoting);
    }
}

/// A better one than the old lead or one that leaves is waited for so long.
const OTHERS: Millis = 800;
