//! Those that wait for a connection to one server.
use super::connection::Connection;
use super::pool::Handover;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Whoever has waited so long is overtaken no more.
const MAX_OVERTAKEN: Millis = 30;

/// Who is served first: by priority, then by age.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaiterKey {
    priority: u64,
    ticket: u64,
}

/// One that waits.
pub(super) struct Waiting {
    pub tenant: Option<Name>,
    pub sender: oneshot::Sender<Handover>,
    since: Millis,
}

/// Those that wait, in the order in which they are served.
#[derive(Default)]
pub(super) struct Waiters {
    by_key: BTreeMap<WaiterKey, Waiting>,
    next_ticket: u64,
}

impl Waiters {
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn add(
        &mut self,
        priority: u64,
        tenant: Option<Name>,
        sender: oneshot::Sender<Handover>,
    ) -> WaiterKey {
        let key = WaiterKey { priority, ticket: self.next_ticket };
        self.next_ticket += 1;
        self.by_key.insert(key, Waiting { tenant, sender, since: now() });
        key
    }

    pub fn remove(&mut self, key: WaiterKey) {
        self.by_key.remove(&key);
    }

    /// Takes the one out that is served next. `connection` is there for it, if it is its tenant's.
    ///
    /// To open another takes a server longer than a statement does. So one of the connection's tenant goes before others
    /// of its priority, as long as the first of these has not waited for [`MAX_OVERTAKEN`]. At a congested server nobody
    /// else is taken for a connection.
    pub fn take_next(
        &mut self,
        now: Millis,
        connection: Option<&Connection>,
        is_congested: bool,
    ) -> Option<Waiting> {
        let (first_key, first) = self.by_key.first_key_value()?;
        let may_be_overtaken = is_congested || now < first.since + MAX_OVERTAKEN;
        let same_tenant = |connection: &Connection| {
            let mut of_priority =
                self.by_key.iter().take_while(|(key, _)| key.priority == first_key.priority);
            of_priority.find(|(_, waiting)| waiting.tenant == connection.tenant).map(|(key, _)| *key)
        };
        let overtaking = connection.filter(|_| may_be_overtaken).and_then(same_tenant);
        let first_in_turn = (connection.is_none() || !is_congested).then_some(*first_key);
        let key = overtaking.or(first_in_turn)?;
        self.by_key.remove(&key)
    }
}
