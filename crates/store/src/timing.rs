//! Durations of the replication protocol, all in milliseconds, and the inequalities between them.
//!
//! The inequalities are checked when the crate is compiled: a change of one duration that breaks another's reason does
//! not build.
use quincehatch_core::Millis;

/// Two machines' clocks may run apart by this many parts in a thousand. Every wait for a term that another machine
/// measures adds it.
pub const CLOCK_DRIFT_PER_MILLE: Millis = 20;
/// Interval of the heartbeats between keepers, each of which also renews the view lease.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// A member from which nothing was received for this long is removed from the chain.
pub const PEER_TIMEOUT: Millis = 800;
/// Term of the view lease, without which a tail does not serve.
pub const VIEW_LEASE: Millis = 1_000;
/// Term of a node's lease, without which a node does not act on its copy of the state.
pub const NODE_LEASE: Millis = 4_000;
/// How long the tail keeps a node's poll open for new changes, at least. Each poll renews the node's lease.
pub const FEED_POLL_WAIT: Millis = 200;
/// The same in the largest fleets.
pub const MAX_FEED_POLL_WAIT: Millis = 600;
/// A poll for which the tail has a long answer may wait so much longer, until the tail has sent it to others.
pub const MAX_PUT_OFF: Millis = 1_800;
/// So much longer for each node, so that the polls of a quiet fleet do not grow with it.
const FEED_POLL_WAIT_PER_NODE: Millis = 2;
/// An adopted configuration is acknowledged this long after its commit, if not every node has applied it before.
pub const ADOPT_ACK_DELAY: Millis = 1_200;
/// Shortest time between two proposals of one keeper.
pub const PROPOSAL_INTERVAL: Millis = 250;
/// What a client is told to wait before it repeats a write whose outcome this keeper could not confirm.
pub(crate) const RETRY_PENDING_AFTER: Millis = 500;

/// A wait after which a term measured by another machine has certainly ended.
pub const fn with_clock_drift(term: Millis) -> Millis {
    term + term * CLOCK_DRIFT_PER_MILLE / 1000 + 1
}

/// The part of a term granted by another machine that its holder may rely on.
pub const fn minus_clock_drift(term: Millis) -> Millis {
    term - term * CLOCK_DRIFT_PER_MILLE / 1000 - 1
}

/// How long the tail of a fleet of so many nodes keeps a poll open for new changes.
pub const fn feed_poll_wait(nodes: usize) -> Millis {
    let wait = FEED_POLL_WAIT_PER_NODE * nodes as Millis;
    if wait < FEED_POLL_WAIT {
        FEED_POLL_WAIT
    } else if wait > MAX_FEED_POLL_WAIT {
        MAX_FEED_POLL_WAIT
    } else {
        wait
    }
}

/// The shortest time after which a lost voter may be replaced: by then the chain is repaired and served without it.
const MIN_REPLACE_AFTER: Millis = PEER_TIMEOUT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE);
/// The longest time from then on until its replacement holds the whole store. Its steps: the replacement announces
/// itself, one of the first two members invites it, it fetches the store, it proposes the view with itself as a voter.
const MAX_REPLACEMENT_TIME: Millis = 500 + PROPOSAL_INTERVAL + 500 + PROPOSAL_INTERVAL;

/// The time without contact after which a voter counts as lost, if its replacement has `catch_up` from its start until
/// it must hold the whole store.
pub const fn replace_after(catch_up: Millis) -> Millis {
    if catch_up / 2 > MIN_REPLACE_AFTER { catch_up / 2 } else { MIN_REPLACE_AFTER }
}

// A replacement that starts when the lost machine stops is a voter well within the shortest time it is given.
const _: () = assert!(replace_after(4_000) + MAX_REPLACEMENT_TIME < 4_000);
const _: () = assert!(replace_after(6_000) + MAX_REPLACEMENT_TIME < 6_000);
// Repair of the chain (detection, one proposal, waiting for the old tail's lease to end) takes less than a node's lease:
// the loss of one keeper alone takes no node out of service.
const _: () = assert!(
    PEER_TIMEOUT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE) + FEED_POLL_WAIT
        < minus_clock_drift(NODE_LEASE)
);
// A poll that was put off is answered before the lease ends that the poll before it renewed.
const _: () = assert!(2 * MAX_FEED_POLL_WAIT + MAX_PUT_OFF < minus_clock_drift(NODE_LEASE));
// The same in the largest fleets: a node's lease counts from when it sent the last poll that was answered, and the next
// one may have waited its time when the tail is lost.
const _: () = assert!(
    2 * MAX_FEED_POLL_WAIT + PEER_TIMEOUT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE)
        < minus_clock_drift(NODE_LEASE)
);
// A node without contact since an adopted configuration was committed has no lease 3 s after its acknowledgement.
const _: () = assert!(with_clock_drift(NODE_LEASE) - minus_clock_drift(ADOPT_ACK_DELAY) < 3_000);
