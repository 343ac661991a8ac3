//! The queue of requests that wait for a connection to one server.
use super::connection::Connection;
use super::pool::Handover;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// A waiter that has been queued for this long is no longer overtaken.
const MAX_OVERTAKE_WAIT: Millis = 30;

/// The sort key of a waiter: waiters are served by priority, then in order of arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaiterKey {
    priority: u64,
    ticket: u64,
}

/// A request in the queue.
pub(super) struct QueuedWaiter {
    pub tenant: Option<Name>,
    pub sender: oneshot::Sender<Handover>,
    queued_at: Millis,
}

/// The queue, in the order in which waiters are served.
#[derive(Default)]
pub(super) struct Waiters {
    by_key: BTreeMap<WaiterKey, QueuedWaiter>,
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
        self.by_key.insert(key, QueuedWaiter { tenant, sender, queued_at: now() });
        key
    }

    pub fn remove(&mut self, key: WaiterKey) {
        self.by_key.remove(&key);
    }

    /// Removes and returns the waiter to serve next. `connection` is the free connection, if there is one; only a
    /// waiter of its tenant can use it.
    ///
    /// Opening a connection takes a server longer than a statement. Therefore a waiter of the connection's tenant may
    /// overtake others of its priority, until the first of these has waited for [`MAX_OVERTAKE_WAIT`]. At a congested
    /// server only a waiter of the connection's tenant is returned when there is a connection.
    pub fn take_next(
        &mut self,
        now: Millis,
        connection: Option<&Connection>,
        is_congested: bool,
    ) -> Option<QueuedWaiter> {
        let (first_key, first) = self.by_key.first_key_value()?;
        let may_be_overtaken = is_congested || now < first.queued_at + MAX_OVERTAKE_WAIT;
        let same_tenant = |connection: &Connection| {
            let mut of_priority =
                self.by_key.iter().take_while(|(key, _)| key.priority == first_key.priority);
            of_priority.find(|(_, waiting)| waiting.tenant == connection.tenant).map(|(key, _)| *key)
        };
        let overtaking = connection.filter(|_| may_be_overtaken).and_then(same_tenant);
        let first_in_queue = (connection.is_none() || !is_congested).then_some(*first_key);
        let key = overtaking.or(first_in_queue)?;
        self.by_key.remove(&key)
    }
}
