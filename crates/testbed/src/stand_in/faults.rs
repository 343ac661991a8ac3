//! Faults that can be injected into a stand-in and into the relay in front of it.
use quincehatch_runtime::seam;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Interval at which a waiting call checks its fault without a notification.
const FAULT_POLL: Duration = Duration::from_millis(200);

/// A change of faults, as the body of `/lab/fault`: only the fields that are present are changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Storage stalls: statements hang, while STATUS calls and the socket still work.
    pub stall: Option<bool>,
    /// Added duration of every statement, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of commits that are done but not answered: the connection is reset instead.
    pub lose_answers: Option<u64>,
    /// No request is read or answered on any connection, including new ones.
    pub dark: Option<bool>,
    /// Every connection is reset once.
    pub reset: Option<bool>,
    /// The server does not pull from its primary.
    pub deaf: Option<bool>,
    /// Delay before each replication pull, in milliseconds.
    pub lag_ms: Option<u64>,
    /// The relay forwards no data in either direction.
    pub hole: Option<bool>,
    /// Share of chunks that the relay loses, per mille.
    pub drop_pm: Option<u64>,
    /// Delay of each chunk in the relay, in milliseconds.
    pub delay_ms: Option<u64>,
    /// The relay resets every connection once.
    pub cut: Option<bool>,
    /// Number of rollbacks that are answered late.
    pub mute: Option<u64>,
    /// Number of successes that are answered without their stamp or rows, to test the checks themselves.
    pub forge: Option<u64>,
}

/// The current faults of a stand-in.
#[derive(Default)]
pub struct Faults {
    /// Storage stalls.
    pub stall: AtomicBool,
    /// No request is read or answered.
    pub dark: AtomicBool,
    /// The server does not pull from its primary.
    pub deaf: AtomicBool,
    /// Added duration of every statement, in milliseconds.
    pub slow_ms: AtomicU64,
    /// Delay before each replication pull, in milliseconds.
    pub lag_ms: AtomicU64,
    /// Number of further commits whose answer is lost.
    pub lose_answers: AtomicU64,
    /// Number of further successes that are answered without stamp or rows.
    pub forge: AtomicU64,
    /// Number of further rollbacks that are answered late.
    pub mute: AtomicU64,
    /// Number of times the server has reset its connections.
    pub reset_count: AtomicU64,
    /// The relay forwards no data.
    pub hole: AtomicBool,
    /// Share of chunks that the relay loses, per mille.
    pub drop_pm: AtomicU64,
    /// Delay of each chunk in the relay, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of times the relay has reset its connections.
    pub cut_count: AtomicU64,
    /// Notified when a fault changes.
    pub changed: Notify,
    lock: Mutex<()>,
}

fn set_flag(flag: &AtomicBool, value: Option<bool>) {
    if let Some(value) = value {
        flag.store(value, Ordering::SeqCst);
    }
}

fn set_number(number: &AtomicU64, value: Option<u64>) {
    if let Some(value) = value {
        number.store(value, Ordering::SeqCst);
    }
}

fn increment_if(count: &AtomicU64, requested: Option<bool>) {
    if requested == Some(true) {
        count.fetch_add(1, Ordering::SeqCst);
    }
}

impl Faults {
    /// Applies the fields that are present in the settings.
    pub fn apply(&self, settings: &FaultSettings) {
        let _guard = self.lock.lock().unwrap();
        set_flag(&self.stall, settings.stall);
        set_flag(&self.dark, settings.dark);
        set_flag(&self.deaf, settings.deaf);
        set_flag(&self.hole, settings.hole);
        set_number(&self.slow_ms, settings.slow_ms);
        set_number(&self.lag_ms, settings.lag_ms);
        set_number(&self.lose_answers, settings.lose_answers);
        set_number(&self.forge, settings.forge);
        set_number(&self.mute, settings.mute);
        set_number(&self.drop_pm, settings.drop_pm);
        set_number(&self.delay_ms, settings.delay_ms);
        increment_if(&self.cut_count, settings.cut);
        increment_if(&self.reset_count, settings.reset);
        self.changed.notify_waiters();
    }

    /// Consumes one occurrence of a counted fault; false if none is left.
    pub fn take_one(&self, count: &AtomicU64) -> bool {
        count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
    }

    /// Returns whether the fault is active.
    pub fn is_set(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::SeqCst)
    }

    /// Waits while the fault is active.
    pub async fn wait_while(&self, flag: &AtomicBool) {
        loop {
            let changed = self.changed.notified();
            if !self.is_set(flag) {
                return;
            }
            let _ = seam::timeout(FAULT_POLL, changed).await;
        }
    }

    /// Waits out a storage stall and the configured slowdown before a statement accesses storage.
    pub async fn storage_delay(&self) {
        self.wait_while(&self.stall).await;
        let slow_ms = self.slow_ms.load(Ordering::SeqCst);
        if slow_ms > 0 {
            seam::sleep(Duration::from_millis(slow_ms)).await;
        }
    }
}
