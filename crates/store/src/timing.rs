//! Durations of the replication protocol, all in milliseconds, and the inequalities that must hold between them.
//!
//! The inequalities are checked at compile time: a duration that violates one of them does not build.
use quincehatch_core::Millis;

/// Largest relative drift between the clocks of two machines, in parts per thousand. Every wait for the end of a lease
/// term that another machine measures is longer by this drift.
pub const CLOCK_DRIFT_PER_MILLE: Millis = 20;
/// Interval between two heartbeats of a keeper, each of which also renews the view lease.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// A member from which nothing was received for this long is removed from the chain.
pub const PEER_TIMEOUT: Millis = 800;
/// Term of the view lease. A tail without it does not serve.
pub const VIEW_LEASE: Millis = 1_000;
/// Term of a node's lease. A node without it does not act on its copy of the state.
pub const NODE_LEASE: Millis = 4_000;
/// Shortest time for which the tail holds a node's long poll open while there are no changes. Each poll renews the
/// node's lease.
pub const MIN_FEED_POLL_WAIT: Millis = 200;
/// Longest time for which the tail holds a node's long poll open, which applies to the largest fleets.
pub const MAX_FEED_POLL_WAIT: Millis = 600;
/// Additional time for which the rate limit on replies may delay a poll after its deadline, while the tail sends large
/// replies to other nodes.
pub const MAX_POLL_DELAY: Millis = 1_800;
/// Wait per node in the fleet, so that the rate of polls without changes does not grow with the fleet.
const FEED_POLL_WAIT_PER_NODE: Millis = 2;
/// Longest time from the commit of an adopted configuration until it is acknowledged, even if some nodes have not
/// applied it.
pub const MAX_ADOPT_ACK_DELAY: Millis = 1_200;
/// Shortest time between two proposals of the same keeper.
pub const PROPOSAL_INTERVAL: Millis = 250;
/// Delay after which a client may retry a write whose outcome this keeper could not confirm.
pub(crate) const RETRY_PENDING_AFTER: Millis = 500;

/// Returns a wait after which a lease term that another machine measures has certainly ended.
pub const fn with_clock_drift(term: Millis) -> Millis {
    term + term * CLOCK_DRIFT_PER_MILLE / 1000 + 1
}

/// Returns the part of a lease term granted by another machine on which the holder may rely.
pub const fn minus_clock_drift(term: Millis) -> Millis {
    term - term * CLOCK_DRIFT_PER_MILLE / 1000 - 1
}

/// Returns how long the tail holds a long poll open in a fleet of `nodes` nodes.
pub const fn feed_poll_wait(nodes: usize) -> Millis {
    let wait = FEED_POLL_WAIT_PER_NODE * nodes as Millis;
    if wait < MIN_FEED_POLL_WAIT {
        MIN_FEED_POLL_WAIT
    } else if wait > MAX_FEED_POLL_WAIT {
        MAX_FEED_POLL_WAIT
    } else {
        wait
    }
}

/// The shortest time after which a lost voter may be replaced: by then the chain is repaired and served without it.
const MIN_VOTER_REPLACEMENT_DELAY: Millis = PEER_TIMEOUT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE);
/// The longest time from when a voter counts as lost until its replacement holds the whole store and is a voter. The
/// steps: the replacement announces itself, one of the first two members invites it, it fetches the store, and it
/// proposes the view in which it is a voter.
const MAX_REPLACEMENT_TIME: Millis = 500 + PROPOSAL_INTERVAL + 500 + PROPOSAL_INTERVAL;

/// Returns the time without messages after which a voter counts as lost. `catch_up` is the time within which a
/// replacement must hold the whole store after its start.
pub const fn voter_replacement_delay(catch_up: Millis) -> Millis {
    if catch_up / 2 > MIN_VOTER_REPLACEMENT_DELAY { catch_up / 2 } else { MIN_VOTER_REPLACEMENT_DELAY }
}

// A replacement that starts when the lost machine stops becomes a voter well within the shortest catch-up times.
const _: () = assert!(voter_replacement_delay(4_000) + MAX_REPLACEMENT_TIME < 4_000);
const _: () = assert!(voter_replacement_delay(6_000) + MAX_REPLACEMENT_TIME < 6_000);
// Repair of the chain (detection, one proposal, waiting for the old tail's lease to end) takes less time than a node's
// lease: the loss of a single keeper takes no node out of service.
const _: () = assert!(
    PEER_TIMEOUT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE) + MIN_FEED_POLL_WAIT
        < minus_clock_drift(NODE_LEASE)
);
// A poll that was delayed by the rate limit is answered before the lease ends that the previous poll renewed.
const _: () = assert!(2 * MAX_FEED_POLL_WAIT + MAX_POLL_DELAY < minus_clock_drift(NODE_LEASE));
// Repair of the chain is shorter than a node's lease in the largest fleets too: the lease is counted from when the node
// sent the last poll that was answered, and the next poll may already have waited for its full time when the tail is
// lost.
const _: () = assert!(
    2 * MAX_FEED_POLL_WAIT + PEER_TIMEOUT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE)
        < minus_clock_drift(NODE_LEASE)
);
// A node that has not reached the tail since an adopted configuration was committed holds no lease 3 s after the
// acknowledgement.
const _: () = assert!(with_clock_drift(NODE_LEASE) - minus_clock_drift(MAX_ADOPT_ACK_DELAY) < 3_000);
