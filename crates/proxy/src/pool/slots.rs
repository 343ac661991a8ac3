//! Counts the open connections to one server under one lock: there are never more than the limit, those included whose
//! query was abandoned and that may still be busy at the server.
use crate::sync::Mutex;

/// What a connection is wanted for. Reads may take only a share of a primary's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A write, a transaction, or a read that must run on the primary.
    Write,
    /// A read that may run on a replica.
    Read,
}

/// What a caller that asks for a connection is given.
#[derive(Debug, PartialEq, Eq)]
pub enum Grant<C> {
    /// An idle connection.
    Idle(C),
    /// Room for one more: the caller opens it and hands it in by `check_in`, or calls `release`.
    OpenNew,
    /// Neither; the caller waits.
    Full,
}

/// How many connections there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// Connections that are open or being opened, idle ones included.
    pub open: usize,
    /// Connections that nobody uses.
    pub idle: usize,
}

#[derive(Debug)]
struct Slots<C> {
    idle: Vec<C>,
    open: usize,
    used_by_reads: usize,
    closed: bool,
}

/// The connections to one server, counted.
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
    /// Grants an idle connection, one that `fits` if there is any, or room to open one.
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
        let most_recent = slots.idle.len().checked_sub(1);
        let position = slots.idle.iter().rposition(&fits).or(most_recent);
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

    /// Hands a connection in for others. Over a lowered limit, or after closing, it is given back to be dropped.
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

    /// A connection is gone for good. One whose query was abandoned counts as open until this is called.
    pub fn release(&self, usage: ConnectionUse) {
        let mut slots = self.slots.lock().unwrap();
        slots.open -= 1;
        if usage == ConnectionUse::Read {
            slots.used_by_reads -= 1;
        }
    }

    /// Hands out every idle connection to be dropped; nothing is granted until `reset`.
    pub fn close(&self) -> Vec<C> {
        self.drain_idle(true)
    }

    /// Hands out every idle connection to be dropped and grants connections again.
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

    /// Drops the idle connections that `keep` does not want; returns how many.
    pub fn prune(&self, keep: impl FnMut(&C) -> bool) -> usize {
        let mut slots = self.slots.lock().unwrap();
        let idle_before = slots.idle.len();
        slots.idle.retain(keep);
        let dropped = idle_before - slots.idle.len();
        slots.open -= dropped;
        dropped
    }

    /// How many connections there are at this moment.
    pub fn count(&self) -> SlotCounts {
        let slots = self.slots.lock().unwrap();
        SlotCounts { open: slots.open, idle: slots.idle.len() }
    }
}
