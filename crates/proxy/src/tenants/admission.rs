//! Admits tenants' operations at this node under their quotas, and settles their tokens with the tail of the chain.
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_quota::{Admission, AdmissionTotals, Allowances, Claim, Settlement};
use quincehatch_runtime::{now, seam};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OnceCell};

/// How long an operation without a token waits for the tail before it runs on credit, if its tenant has credit left.
const CREDIT_AFTER: Millis = 30;
/// How long an operation without a token or credit waits in total before it is rejected. The tail may be busy with a
/// long configuration.
const MAX_WAIT: Millis = 300;
/// When a client may retry after a rejection because its tenant is at its limit.
const RETRY_AFTER_REJECTION: Millis = 1_000;

/// Admits the operations of tenants at this node.
#[derive(Default)]
pub struct QuotaGate {
    allowances: Mutex<Allowances>,
    /// Notified when an operation waits for a settlement.
    settlement_requested: Notify,
    /// Notified when a settlement has ended.
    settled: Notify,
}

/// The admission of one operation, which has its token or waits for one. The caller can check out a server connection
/// while it waits.
pub struct OperationAdmission<'a> {
    waiting: Option<WaitingOperation<'a>>,
    /// The result of the wait, shared by the attempts of the operation.
    result: OnceCell<Result<(), Error>>,
}

/// An operation that waits for a token. It counts as waiting until it is admitted or rejected, or this is dropped.
struct WaitingOperation<'a> {
    gate: &'a QuotaGate,
    tenant: &'a Name,
    started_at: Millis,
    is_finished: AtomicBool,
}

impl Drop for WaitingOperation<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}

impl OperationAdmission<'_> {
    /// Returns the admission of an operation that needs no token or already has one.
    pub fn granted() -> OperationAdmission<'static> {
        OperationAdmission { waiting: None, result: OnceCell::new() }
    }

    /// Waits for the token. Nothing of the operation may run before this returns.
    ///
    /// # Errors
    /// `QuotaExceeded` if the tenant is at its limit.
    pub async fn wait(&self) -> Result<(), Error> {
        let Some(waiting) = &self.waiting else { return Ok(()) };
        self.result.get_or_init(|| waiting.wait()).await.clone()
    }
}

impl WaitingOperation<'_> {
    async fn wait(&self) -> Result<(), Error> {
        loop {
            // Registered before the check, so that no settlement is missed between the check and the wait.
            let settled = self.gate.settled.notified();
            let admission = self.try_admit();
            if admission != Admission::Wait {
                self.finish();
                return to_result(admission);
            }
            self.gate.settlement_requested.notify_one();
            let elapsed = now() - self.started_at;
            let limit = if elapsed < CREDIT_AFTER { CREDIT_AFTER } else { MAX_WAIT };
            let left = Duration::from_millis(limit.saturating_sub(elapsed).max(1));
            let _ = seam::timeout(left, settled).await;
        }
    }

    fn finish(&self) {
        if !self.is_finished.swap(true, Ordering::SeqCst) {
            self.gate.allowances.lock().unwrap().stop_waiting(self.tenant);
        }
    }

    fn try_admit(&self) -> Admission {
        let mut allowances = self.gate.allowances.lock().unwrap();
        let admission = allowances.admit_waiting(now(), self.tenant);
        let elapsed = now() - self.started_at;
        if admission != Admission::Wait || elapsed < CREDIT_AFTER {
            return admission;
        }
        if allowances.try_run_on_credit(now(), self.tenant) {
            return Admission::Admitted;
        }
        if elapsed < MAX_WAIT {
            return Admission::Wait;
        }
        allowances.reject(self.tenant);
        Admission::Rejected
    }
}

impl QuotaGate {
    /// Takes a token for an operation of a tenant that has a limit, or starts to wait for one.
    ///
    /// # Errors
    /// `QuotaExceeded` if this node already knows that the tenant is at its limit.
    pub fn admit<'a>(&'a self, tenant: &'a Name) -> Result<OperationAdmission<'a>, Error> {
        let admission = self.allowances.lock().unwrap().admit(now(), tenant);
        if admission != Admission::Wait {
            return to_result(admission).map(|()| OperationAdmission::granted());
        }
        self.settlement_requested.notify_one();
        let waiting =
            WaitingOperation { gate: self, tenant, started_at: now(), is_finished: AtomicBool::new(false) };
        Ok(OperationAdmission { waiting: Some(waiting), result: OnceCell::new() })
    }

    /// Takes a token for a hedge of a statement, if one is available without waiting.
    pub fn try_take_token(&self, tenant: &Name) -> bool {
        self.allowances.lock().unwrap().try_take_token(now(), tenant)
    }

    /// Waits until an operation needs a settlement.
    pub async fn settlement_requested(&self) {
        self.settlement_requested.notified().await;
    }

    /// Begins a settlement and returns its claims, which are empty if there is nothing to settle. The settlement ends
    /// with [`QuotaGate::end_settlement`]. `interval` is the time between settlements.
    pub fn begin_settlement(&self, interval: Millis) -> Vec<Claim> {
        self.allowances.lock().unwrap().begin_settlement(now(), interval)
    }

    /// Ends the settlement with the tail's reply; `None` if the tail did not reply.
    pub fn end_settlement(&self, settlement: Option<&Settlement>) {
        let mut allowances = self.allowances.lock().unwrap();
        match settlement {
            Some(settlement) => allowances.settlement_completed(now(), settlement),
            None => allowances.settlement_failed(now()),
        }
        drop(allowances);
        self.settled.notify_waiters();
    }

    /// Returns the number of operations by their admission result.
    pub fn totals(&self) -> AdmissionTotals {
        self.allowances.lock().unwrap().totals()
    }

    /// Whether an operation waits for a settlement.
    pub fn has_waiting_operations(&self) -> bool {
        self.allowances.lock().unwrap().has_waiting_operations()
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
