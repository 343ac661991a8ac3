//! Suspicions: reports by other nodes that a group's primary stalls.
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// A suspicion expires if it is not reported again within this time.
const EXPIRES_AFTER: Millis = 1_200;

struct Suspicion {
    server: Name,
    first_reported_at: Millis,
    last_reported_at: Millis,
}

impl Suspicion {
    fn is_live(&self, server: &Name) -> bool {
        self.server == *server && now() < self.last_reported_at + EXPIRES_AFTER
    }
}

/// The suspicions of each group.
#[derive(Default)]
pub(super) struct Suspicions {
    by_group: Mutex<BTreeMap<Name, Suspicion>>,
}

impl Suspicions {
    pub(super) fn record(&self, group: Name, server: Name) {
        let mut by_group = self.by_group.lock().unwrap();
        let earlier = by_group.get(&group).filter(|suspicion| suspicion.is_live(&server));
        let first_reported_at = earlier.map_or_else(now, |suspicion| suspicion.first_reported_at);
        by_group.insert(group, Suspicion { server, first_reported_at, last_reported_at: now() });
    }

    /// For how long the server has been suspected; `None` if there is no suspicion or it has expired.
    pub(super) fn age(&self, group: &Name, server: &Name) -> Option<Millis> {
        let by_group = self.by_group.lock().unwrap();
        let live = by_group.get(group).filter(|suspicion| suspicion.is_live(server))?;
        Some(now() - live.first_reported_at)
    }
}
