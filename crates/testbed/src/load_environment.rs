//! What all callers of a run share.
use crate::history::{SentStatements, SharedHistory};
use quincehatch_core::Millis;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64};

/// The environment of a load: whom it calls, how, and what was seen.
pub struct LoadEnvironment {
    /// What callers were told.
    pub history: SharedHistory,
    /// Where the platform listens.
    pub platform: String,
    /// Number of groups.
    pub groups: usize,
    /// Number of zones.
    pub zones: usize,
    /// Callers of a group all begin in one zone.
    pub zone_affinity: bool,
    /// Mean time between two calls of one caller.
    pub pause_ms: Millis,
    /// Deadline of a lookup.
    pub lookup_ms: Millis,
    /// Orders in a thousand calls; the others are lookups.
    pub orders_per_mille: u64,
    /// Moves to another zone in a thousand calls.
    pub moves_per_mille: u64,
    /// Callers use a connection until it breaks, also when the node says that it stops.
    pub keeps_connections: bool,
    /// Callers end once it is set.
    pub stop: AtomicBool,
    /// What callers sent.
    pub sent_statements: Mutex<SentStatements>,
    /// Calls so far.
    pub calls: AtomicU64,
    /// Callers that came beside the first ones.
    pub extra_callers: AtomicU64,
}
