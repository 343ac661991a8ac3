//! Admission of tenants' operations at this node, and its settlements with the tail.
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_quota::{Admission, AdmissionTotals, Allowances, Claim, Settlement};
use quincehatch_runtime::{now, seam};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OnceCell};

/// An operation that finds no token waits so long for the tail before it runs on credit, if its tenant has any.
const CREDIT_AFTER: Millis = 30;
/// Without credit it waits so long in all; then it is rejected. The tail may be busy with a long configuration.
const MAX_WAIT: Millis = 300;
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

/// An operation on its way: it has its token, or waits for one while its connection to a server is made ready.
pub struct OperationAdmission<'a> {
    waiting: Option<WaitingOperation<'a>>,
    result: OnceCell<Result<(), Error>>,
}

/// An operation that waits. It counts as one until it was admitted or rejected, or this is dropped.
struct WaitingOperation<'a> {
    gate: &'a QuotaGate,
    tenant: &'a Name,
    began: Millis,
    is_over: AtomicBool,
}

impl Drop for WaitingOperation<'_> {
    fn drop(&mut self) {
        self.stop();
    }
}

impl OperationAdmission<'_> {
    /// The operation needs no token, or has it.
    pub fn granted() -> OperationAdmission<'static> {
        OperationAdmission { waiting: None, result: OnceCell::new() }
    }

    /// Waits for the token. Nothing of the operation may run before.
    ///
    /// # Errors
    /// `QuotaExceeded` where the tenant turns out to be at its limit. Nothing was run.
    pub async fn wait(&self) -> Result<(), Error> {
        let Some(waiting) = &self.waiting else { return Ok(()) };
        self.result.get_or_init(|| waiting.wait()).await.clone()
    }
}

impl WaitingOperation<'_> {
    async fn wait(&self) -> Result<(), Error> {
        loop {
            // Taken before the look, so that no settlement is missed between the look and the wait.
            let settled = self.gate.settled.notified();
            let admission = self.look();
            if admission != Admission::Wait {
                self.stop();
                return to_result(admission);
            }
            self.gate.wanted.notify_one();
            let waited = now() - self.began;
            let limit = if waited < CREDIT_AFTER { CREDIT_AFTER } else { MAX_WAIT };
            let left = Duration::from_millis(limit.saturating_sub(waited).max(1));
            let _ = seam::timeout(left, settled).await;
        }
    }

    fn stop(&self) {
        if !self.is_over.swap(true, Ordering::SeqCst) {
            self.gate.allowances.lock().unwrap().stop_waiting(self.tenant);
        }
    }

    fn look(&self) -> Admission {
        let mut allowances = self.gate.allowances.lock().unwrap();
        let admission = allowances.admit_waiting(now(), self.tenant);
        let waited = now() - self.began;
        if admission != Admission::Wait || waited < CREDIT_AFTER {
            return admission;
        }
        if allowances.borrow(now(), self.tenant) {
            return Admission::Admitted;
        }
        if waited < MAX_WAIT {
            return Admission::Wait;
        }
        allowances.reject(self.tenant);
        Admission::Rejected
    }
}

impl QuotaGate {
    /// Begins to admit an operation of a tenant that has a limit.
    ///
    /// # Errors
    /// `QuotaExceeded` where the tenant is known to be at its limit. Nothing was run.
    pub fn admit<'a>(&'a self, tenant: &'a Name) -> Result<OperationAdmission<'a>, Error> {
        let admission = self.allowances.lock().unwrap().admit(now(), tenant);
        if admission != Admission::Wait {
            return to_result(admission).map(|()| OperationAdmission::granted());
        }
        self.wanted.notify_one();
        let waiting = WaitingOperation { gate: self, tenant, began: now(), is_over: AtomicBool::new(false) };
        Ok(OperationAdmission { waiting: Some(waiting), result: OnceCell::new() })
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
    pub fn end_settlement(&self, settlement: Option<&Settlement>) {
        let mut allowances = self.allowances.lock().unwrap();
        match settlement {
            Some(settlement) => allowances.settled(now(), settlement),
            None => allowances.not_settled(now()),
        }
        drop(allowances);
        self.settled.notify_waiters();
    }

    /// What became of operations that were settled, or were to be.
    pub fn totals(&self) -> AdmissionTotals {
        self.allowances.lock().unwrap().totals()
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
