//! The times of the state plane and the sums that tie them together (§5.6).
use quincehatch_core::Millis;
use quincehatch_wire::FRAME_MAX;

/// Two local clocks may run apart by this many parts in a thousand; every wait on another's term adds it.
pub const CLOCK_DRIFT_PER_MILLE: Millis = 20;
/// Heartbeat between keepers, and renewal of the view lease.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// A keeper silent this long is mended out of the view.
pub const SILENT: Millis = 800;
/// Term of the view lease.
pub const VIEW_LEASE: Millis = 1_000;
/// Term of a node's lease.
pub const NODE_LEASE: Millis = 4_000;
/// How long the tail holds a node's poll for news; each renews its lease.
pub const FEED_POLL_WAIT: Millis = 200;
/// An adopted blueprint is acknowledged this long after its commit, if not in force everywhere before.
pub const ADOPT_ACK_DELAY: Millis = 1_200;
/// Least time between two proposals of one keeper.
pub const PROPOSAL_INTERVAL: Millis = 250;
/// Entries kept for feed and catch-up before a snapshot must serve.
pub const LOG_MAX_ENTRIES: usize = 512;
/// Their size together, packed as they are kept.
pub const LOG_MAX_BYTES: usize = 4 << 20;
/// Size of the changes kept for nodes' feeds.
pub const FEED_MAX_BYTES: usize = 1 << 20;
/// Entries between two snapshots on disk, if their size does not call for one before.
pub const SNAPSHOT_INTERVAL_ENTRIES: usize = 128;
/// Bytes of entries or of a snapshot in one message between keepers, far below the longest frame: over a link of
/// 100 Mbit/s they take 20 ms.
pub const TRANSFER_MAX_BYTES: usize = 256 << 10;

/// A wait that surely outlasts another machine's term.
pub const fn with_clock_drift(term: Millis) -> Millis {
    term + term * CLOCK_DRIFT_PER_MILLE / 1000 + 1
}
/// What a holder may count on of a term granted by another machine.
pub const fn minus_clock_drift(term: Millis) -> Millis {
    term - term * CLOCK_DRIFT_PER_MILLE / 1000 - 1
}

/// Least silence after which a voter gives its place to one outside: by then the chain without it is repaired and served.
const MIN_REPLACE_AFTER: Millis = SILENT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE);
/// From then on, at most, until the new voter holds everything: it is known (a discovery message), invited by one of the
/// first two members, fetches the store, proposes.
const MAX_REPLACEMENT_TIME: Millis = 500 + PROPOSAL_INTERVAL + 500 + PROPOSAL_INTERVAL;

/// The silence after which a voter is lost, where its successor counts as whole `catch_up` after its start (§5.9).
pub const fn replace_after(catch_up: Millis) -> Millis {
    if catch_up / 2 > MIN_REPLACE_AFTER { catch_up / 2 } else { MIN_REPLACE_AFTER }
}

// A successor that starts as the lost machine falls silent votes well inside the shortest time it is given.
const _: () = assert!(replace_after(4_000) + MAX_REPLACEMENT_TIME < 4_000);
const _: () = assert!(replace_after(6_000) + MAX_REPLACEMENT_TIME < 6_000);
// Mending (silence, one round, waiting the old tail out) is shorter than a node's lease, so that a lost
// keeper alone never takes a node out of service (§5.6).
const _: () = assert!(
    SILENT + PROPOSAL_INTERVAL + with_clock_drift(VIEW_LEASE) + FEED_POLL_WAIT
        < minus_clock_drift(NODE_LEASE)
);
// A node that was not heard of since an adopted blueprint was committed has no lease 3 s after it was acknowledged.
const _: () = assert!(with_clock_drift(NODE_LEASE) - minus_clock_drift(ADOPT_ACK_DELAY) < 3_000);
// A message between keepers with all that may be in one part is far below the longest frame.
const _: () = assert!(TRANSFER_MAX_BYTES < FRAME_MAX / 8);
