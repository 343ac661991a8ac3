//! The settings and the recorded history that all callers of a run share.
use crate::history::{SentStatements, SharedHistory};
use quincehatch_core::Millis;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64};

/// The environment of a load: the addresses it calls, the settings of its callers, and the recorded history.
pub struct LoadEnvironment {
    /// What callers observed.
    pub history: SharedHistory,
    /// Address of the platform.
    pub platform: String,
    /// Number of groups.
    pub groups: usize,
    /// Number of zones.
    pub zones: usize,
    /// Whether all callers of a group start in the same zone.
    pub zone_affinity: bool,
    /// Mean time between two calls of one caller.
    pub pause_ms: Millis,
    /// Deadline of a lookup.
    pub lookup_ms: Millis,
    /// Share of orders among calls, per mille; all other calls are lookups.
    pub orders_per_mille: u64,
    /// Chance that a caller moves to another zone before a call, per mille.
    pub moves_per_mille: u64,
    /// Whether callers use a connection until it breaks, even if the node replies that it is stopping.
    pub keeps_connections: bool,
    /// Set to end all callers.
    pub stop: AtomicBool,
    /// Statements and session state that callers sent.
    pub sent_statements: Mutex<SentStatements>,
    /// Number of calls so far.
    pub calls: AtomicU64,
    /// Number of callers started in addition to the first ones.
    pub extra_callers: AtomicU64,
}
