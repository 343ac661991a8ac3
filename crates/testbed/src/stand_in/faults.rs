//! What can be made to go wrong inside a stand-in (§9.2).
use quincehatch_runtime::seam;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// The wish as JSON: every field that is given is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Storage stalls: statements hang, STATUS and the socket look well.
    pub stall: Option<bool>,
    /// Every statement takes this much longer.
    pub slow_ms: Option<u64>,
    /// So many commits are done and then not answered: the link is reset.
    pub lose_answers: Option<u64>,
    /// Nothing is read or answered on any link, new ones included.
    pub dark: Option<bool>,
    /// Every link is reset once.
    pub reset: Option<bool>,
    /// Replication is not followed.
    pub deaf: Option<bool>,
    /// Replication lags this much.
    pub lag_ms: Option<u64>,
    /// The relay swallows everything, both ways.
    pub hole: Option<bool>,
    /// The relay loses so many of a thousand chunks.
    pub drop_pm: Option<u64>,
    /// The relay holds each chunk so long.
    pub delay_ms: Option<u64>,
    /// The relay resets every link once.
    pub cut: Option<bool>,
    /// So many rollbacks are answered only after two seconds.
    pub mute: Option<u64>,
    /// A success without stamp or rows, so many times (checker's own test).
    pub forge: Option<u64>,
}

#[derive(Default)]
pub struct Faults {
    pub stall: AtomicBool,
    pub dark: AtomicBool,
    pub deaf: AtomicBool,
    pub slow_ms: AtomicU64,
    pub lag_ms: AtomicU64,
    pub lose_answers: AtomicU64,
    pub forge: AtomicU64,
    pub mute: AtomicU64,
    pub reset_count: AtomicU64,
    pub hole: AtomicBool,
    pub drop_pm: AtomicU64,
    pub delay_ms: AtomicU64,
    pub cut_count: AtomicU64,
    pub changed: Notify,
    lock: Mutex<()>,
}

impl Faults {
    pub fn apply(&self, w: &FaultSettings) {
        let _g = self.lock.lock().unwrap();
        let flag = |f: &AtomicBool, v: Option<bool>| v.into_iter().for_each(|v| f.store(v, Ordering::SeqCst));
        let num = |f: &AtomicU64, v: Option<u64>| v.into_iter().for_each(|v| f.store(v, Ordering::SeqCst));
        flag(&self.stall, w.stall);
        flag(&self.dark, w.dark);
        flag(&self.deaf, w.deaf);
        num(&self.slow_ms, w.slow_ms);
        num(&self.lag_ms, w.lag_ms);
        num(&self.lose_answers, w.lose_answers);
        num(&self.forge, w.forge);
        num(&self.mute, w.mute);
        flag(&self.hole, w.hole);
        num(&self.drop_pm, w.drop_pm);
        num(&self.delay_ms, w.delay_ms);
        if w.cut == Some(true) {
            self.cut_count.fetch_add(1, Ordering::SeqCst);
        }
        if w.reset == Some(true) {
            self.reset_count.fetch_add(1, Ordering::SeqCst);
        }
        self.changed.notify_waiters();
    }
    /// Takes one of a counted fault.
    pub fn take_one(&self, f: &AtomicU64) -> bool {
        f.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok()
    }
    pub fn is_set(&self, f: &AtomicBool) -> bool {
        f.load(Ordering::SeqCst)
    }
    /// Waits while the flag is up.
    pub async fn wait_while(&self, f: &AtomicBool) {
        loop {
            let n = self.changed.notified();
            if !self.is_set(f) {
                return;
            }
            let _ = seam::timeout(Duration::from_millis(200), n).await;
        }
    }
    /// Before a statement touches storage.
    pub async fn storage_delay(&self) {
        self.wait_while(&self.stall).await;
        let ms = self.slow_ms.load(Ordering::SeqCst);
        if ms > 0 {
            seam::sleep(Duration::from_millis(ms)).await;
        }
    }
}
