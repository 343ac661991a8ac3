//! What can be made to go wrong inside a stand-in and in the relay before it.
use quincehatch_runtime::seam;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// How often a waiting call looks at its fault without being notified.
const FAULT_POLL: Duration = Duration::from_millis(200);

/// A change of faults, as the body of `/lab/fault`: every field that is given is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Storage stalls: statements hang, while STATUS and the socket look well.
    pub stall: Option<bool>,
    /// Every statement takes this much longer.
    pub slow_ms: Option<u64>,
    /// So many commits are done and then not answered: the connection is reset.
    pub lose_answers: Option<u64>,
    /// Nothing is read or answered on any connection, new ones included.
    pub dark: Option<bool>,
    /// Every connection is reset once.
    pub reset: Option<bool>,
    /// Replication is not followed.
    pub deaf: Option<bool>,
    /// Replication lags this much.
    pub lag_ms: Option<u64>,
    /// The relay swallows everything, both ways.
    pub hole: Option<bool>,
    /// The relay loses so many of a thousand chunks.
    pub drop_pm: Option<u64>,
    /// The relay delays each chunk so long.
    pub delay_ms: Option<u64>,
    /// The relay resets every connection once.
    pub cut: Option<bool>,
    /// So many rollbacks are answered late.
    pub mute: Option<u64>,
    /// So many successes lack their stamp or rows: a test of the checks themselves.
    pub forge: Option<u64>,
}

/// The faults of a stand-in as they are now.
#[derive(Default)]
pub struct Faults {
    /// Storage stalls.
    pub stall: AtomicBool,
    /// Nothing is read or answered.
    pub dark: AtomicBool,
    /// Replication is not followed.
    pub deaf: AtomicBool,
    /// Every statement takes this much longer.
    pub slow_ms: AtomicU64,
    /// Replication lags this much.
    pub lag_ms: AtomicU64,
    /// Commits whose answer is still to be lost.
    pub lose_answers: AtomicU64,
    /// Successes still to be answered without stamp or rows.
    pub forge: AtomicU64,
    /// Rollbacks still to be answered late.
    pub mute: AtomicU64,
    /// Rises when the server resets its connections.
    pub reset_count: AtomicU64,
    /// The relay swallows everything.
    pub hole: AtomicBool,
    /// Lost chunks in a thousand, in the relay.
    pub drop_pm: AtomicU64,
    /// Delay of each chunk, in the relay.
    pub delay_ms: AtomicU64,
    /// Rises when the relay resets its connections.
    pub cut_count: AtomicU64,
    /// Notified when any fault changed.
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

fn count_up(count: &AtomicU64, asked: Option<bool>) {
    if asked == Some(true) {
        count.fetch_add(1, Ordering::SeqCst);
    }
}

impl Faults {
    /// Changes what the settings name.
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
        count_up(&self.cut_count, settings.cut);
        count_up(&self.reset_count, settings.reset);
        self.changed.notify_waiters();
    }

    /// Takes one of a counted fault; false if none is left.
    pub fn take_one(&self, count: &AtomicU64) -> bool {
        count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
    }

    /// True while the fault is on.
    pub fn is_set(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::SeqCst)
    }

    /// Waits while the fault is on.
    pub async fn wait_while(&self, flag: &AtomicBool) {
        loop {
            let changed = self.changed.notified();
            if !self.is_set(flag) {
                return;
            }
            let _ = seam::timeout(FAULT_POLL, changed).await;
        }
    }

    /// What a statement waits before it touches storage.
    pub async fn storage_delay(&self) {
        self.wait_while(&self.stall).await;
        let slow_ms = self.slow_ms.load(Ordering::SeqCst);
        if slow_ms > 0 {
            seam::sleep(Duration::from_millis(slow_ms)).await;
        }
    }
}
