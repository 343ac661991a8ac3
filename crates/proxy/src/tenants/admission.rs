//! Admission of tenants' operations at this node, and its settlements with the tail.
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_quota::{Admission, Allowances, Claim, Grant};
use quincehatch_runtime::{now, seam};
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;

/// An operation that finds no token waits so long for the tail; then it runs on credit, or is rejected.
const SETTLE_WAIT: Millis = 60;
/// When a client may come again after its tenant was at its limit.
const RETRY_AFTER_REJECTION: Millis = 1_000;

/// What tenants may run at this node.
#[derive(Default)]
pub struct QuotaGate {
    allowances: Mutex<Allowances>,
    /// An operation waits for a settlement.
    wanted: Notify,
    /// A settlement has ended.
    settled: Notify,
}

/// An operation that waits; it counts as one until this is dropped.
struct WaitingOperation<'a> {
    gate: &'a QuotaGate,
    tenant: &'a Name,
}

impl Drop for WaitingOperation<'_> {
    fn drop(&mut self) {
        self.gate.allowances.lock().unwrap().stop_waiting(self.tenant);
    }
}

impl QuotaGate {
    /// Admits an operation of a tenant that has a limit.
    ///
    /// # Errors
    /// `QuotaExceeded` where the tenant is at its limit. Nothing was run.
    pub async fn admit(&self, tenant: &Name) -> Result<(), Error> {
        // Taken before the look, so that no settlement is missed between the look and the wait.
        let mut settled = self.settled.notified();
        let mut admission = self.allowances.lock().unwrap().admit(now(), tenant);
        if admission != Admission::Wait {
            return to_result(admission);
        }
        let _waiting = WaitingOperation { gate: self, tenant };
        let until = now() + SETTLE_WAIT;
        while admission == Admission::Wait {
            self.wanted.notify_one();
            let left = Duration::from_millis(until.saturating_sub(now()));
            let in_time = seam::timeout(left, settled).await.is_ok();
            settled = self.settled.notified();
            let mut allowances = self.allowances.lock().unwrap();
            admission = if in_time && now() < until {
                allowances.admit_waiting(now(), tenant)
            } else {
                allowances.borrow(now(), tenant)
            };
        }
        to_result(admission)
    }

    /// Takes a token for a second copy of a statement, if one is at hand.
    pub fn take_spare(&self, tenant: &Name) -> bool {
        self.allowances.lock().unwrap().take_spare(now(), tenant)
    }

    /// Waits until an operation wants a settlement.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// The claims of a settlement, which is to end with [`QuotaGate::end_settlement`]; empty if there is nothing to
    /// settle. `interval`: time between settlements.
    pub fn begin_settlement(&self, interval: Millis) -> Vec<Claim> {
        self.allowances.lock().unwrap().begin_settlement(now(), interval)
    }

    /// The settlement has ended; `None` if no tail has answered.
    pub fn end_settlement(&self, grants: Option<&[Grant]>) {
        let mut allowances = self.allowances.lock().unwrap();
        match grants {
            Some(grants) => allowances.settled(grants),
            None => allowances.not_settled(now()),
        }
        drop(allowances);
        self.settled.notify_waiters();
    }

    /// Whether an operation waits for a settlement.
    pub fn has_waiting(&self) -> bool {
        self.allowances.lock().unwrap().has_waiting()
    }
}

fn to_result(admission: Admission) -> Result<(), Error> {
    match admission {
        Admission::Admitted => Ok(()),
        Admission::Wait | Admission::Rejected => {
            Err(ErrorCode::QuotaExceeded.without_detail().with_retry_after(RETRY_AFTER_REJECTION))
        }
    }
}
