//! Counting of one server's links under one lock (§4.3): never more than the cap, abandoned ones included.
use crate::sync::Mutex;

/// Why a link is wanted: lookups may take only a share of a primary's links (§4.7).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    Order,
    Lookup,
}

/// What a taker gets.
#[derive(Debug, PartialEq, Eq)]
pub enum Grant<L> {
    /// An idle link.
    Idle(L),
    /// Room for one more: open it, and give it back with `put` or `gone`.
    Open,
    Full,
}

#[derive(Debug)]
struct Room<L> {
    idle: Vec<L>,
    live: usize,
    lookups: usize,
    closed: bool,
}

#[derive(Debug)]
pub struct ConnectionSlots<L> {
    room: Mutex<Room<L>>,
}

impl<L> Default for ConnectionSlots<L> {
    fn default() -> Self {
        Self { room: Mutex::new(Room { idle: Vec::new(), live: 0, lookups: 0, closed: false }) }
    }
}

impl<L> ConnectionSlots<L> {
    /// Takes an idle link (one that `fits` first), or room to open one.
    pub fn check_out(
        &self,
        u: ConnectionUse,
        cap: usize,
        share: usize,
        fits: impl Fn(&L) -> bool,
    ) -> Grant<L> {
        let mut r = self.room.lock().unwrap();
        if r.closed || (u == ConnectionUse::Lookup && r.lookups >= share) {
            return Grant::Full;
        }
        let at = r.idle.iter().rposition(&fits).or_else(|| r.idle.len().checked_sub(1));
        let g = match at {
            Some(i) => Grant::Idle(r.idle.swap_remove(i)),
            None if r.live < cap => {
                r.live += 1;
                Grant::Open
            }
            None => return Grant::Full,
        };
        if u == ConnectionUse::Lookup {
            r.lookups += 1;
        }
        g
    }
    /// Gives a link back for others. Over a lowered cap, or after closing, it is handed back to be dropped.
    pub fn check_in(&self, u: ConnectionUse, cap: usize, link: L) -> Option<L> {
        let mut r = self.room.lock().unwrap();
        if u == ConnectionUse::Lookup {
            r.lookups -= 1;
        }
        if r.closed || r.live > cap {
            r.live -= 1;
            return Some(link);
        }
        r.idle.push(link);
        None
    }
    /// A link is gone for good. One whose query was abandoned counts until this is said (§4.5).
    pub fn release(&self, u: ConnectionUse) {
        let mut r = self.room.lock().unwrap();
        r.live -= 1;
        if u == ConnectionUse::Lookup {
            r.lookups -= 1;
        }
    }
    /// Hands out every idle link to be dropped; with `close` nothing more is granted until `open`.
    pub fn clear(&self, close: bool) -> Vec<L> {
        let mut r = self.room.lock().unwrap();
        r.closed = close;
        let out = std::mem::take(&mut r.idle);
        r.live -= out.len();
        out
    }
    /// Drops idle links that `keep` does not want.
    pub fn prune(&self, keep: impl FnMut(&L) -> bool) -> usize {
        let mut r = self.room.lock().unwrap();
        let had = r.idle.len();
        r.idle.retain(keep);
        let n = had - r.idle.len();
        r.live -= n;
        n
    }
    /// Live links and idle ones.
    pub fn count(&self) -> (usize, usize) {
        let r = self.room.lock().unwrap();
        (r.live, r.idle.len())
    }
}
