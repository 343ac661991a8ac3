//! Counts the open connections to one server under one lock, so that the limit is never exceeded. A connection whose
//! query was abandoned counts as well, as the server may still be busy with it.
use crate::sync::Mutex;

/// What a connection is used for. Reads may use only a share of a primary's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A write, a transaction, or a read that must run on the primary.
    Write,
    /// A read that may run on a replica.
    Read,
}

/// The answer to a request for a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Grant<C> {
    /// An idle connection.
    Idle(C),
    /// A slot for one more connection: the caller opens it and returns it by `check_in`, or calls `release`.
    OpenNew,
    /// Neither is available; the caller waits.
    Full,
}

/// The number of connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// The connections that are open or being opened, including idle ones.
    pub open: usize,
    /// The connections that are not checked out.
    pub idle: usize,
}

#[derive(Debug)]
struct Slots<C> {
    idle: Vec<C>,
    open: usize,
    used_by_reads: usize,
    closed: bool,
}

/// The idle connections to one server and the counts of open ones.
#[derive(Debug)]
pub struct ConnectionSlots<C> {
    slots: Mutex<Slots<C>>,
}

impl<C> Default for ConnectionSlots<C> {
    fn default() -> Self {
        let slots = Slots { idle: Vec::new(), open: 0, used_by_reads: 0, closed: false };
        Self { slots: Mutex::new(slots) }
    }
}

impl<C> ConnectionSlots<C> {
    /// Grants an idle connection, preferably one that `fits`, or a slot to open a new one.
    ///
    /// At most `capacity` connections are open, and at most `read_share` of them are used by reads.
    pub fn check_out(
        &self,
        usage: ConnectionUse,
        capacity: usize,
        read_share: usize,
        fits: impl Fn(&C) -> bool,
    ) -> Grant<C> {
        let mut slots = self.slots.lock().unwrap();
        if slots.closed || (usage == ConnectionUse::Read && slots.used_by_reads >= read_share) {
            return Grant::Full;
        }
        let last_index = slots.idle.len().checked_sub(1);
        let position = slots.idle.iter().rposition(&fits).or(last_index);
        let grant = match position {
            Some(i) => Grant::Idle(slots.idle.swap_remove(i)),
            None if slots.open < capacity => {
                slots.open += 1;
                Grant::OpenNew
            }
            None => return Grant::Full,
        };
        if usage == ConnectionUse::Read {
            slots.used_by_reads += 1;
        }
        grant
    }

    /// Returns a connection to the pool. If the limit was lowered or the pool was closed meanwhile, the connection is
    /// handed back for the caller to drop.
    pub fn check_in(&self, usage: ConnectionUse, capacity: usize, connection: C) -> Option<C> {
        let mut slots = self.slots.lock().unwrap();
        if usage == ConnectionUse::Read {
            slots.used_by_reads -= 1;
        }
        if slots.closed || slots.open > capacity {
            slots.open -= 1;
            return Some(connection);
        }
        slots.idle.push(connection);
        None
    }

    /// Frees the slot of a connection that is closed. A connection whose query was abandoned counts as open until then.
    pub fn release(&self, usage: ConnectionUse) {
        let mut slots = self.slots.lock().unwrap();
        slots.open -= 1;
        if usage == ConnectionUse::Read {
            slots.used_by_reads -= 1;
        }
    }

    /// Closes the pool: returns every idle connection for the caller to drop, and grants none until `reset`.
    pub fn close(&self) -> Vec<C> {
        self.drain_idle(true)
    }

    /// Returns every idle connection for the caller to drop, and grants connections again.
    pub fn reset(&self) -> Vec<C> {
        self.drain_idle(false)
    }

    fn drain_idle(&self, closed: bool) -> Vec<C> {
        let mut slots = self.slots.lock().unwrap();
        slots.closed = closed;
        let drained = std::mem::take(&mut slots.idle);
        slots.open -= drained.len();
        drained
    }

    /// Drops the idle connections for which `keep` returns false, and returns their number.
    pub fn prune(&self, keep: impl FnMut(&C) -> bool) -> usize {
        let mut slots = self.slots.lock().unwrap();
        let idle_before = slots.idle.len();
        slots.idle.retain(keep);
        let dropped = idle_before - slots.idle.len();
        slots.open -= dropped;
        dropped
    }

    /// Returns the current number of connections.
    pub fn count(&self) -> SlotCounts {
        let slots = self.slots.lock().unwrap();
        SlotCounts { open: slots.open, idle: slots.idle.len() }
    }
}
