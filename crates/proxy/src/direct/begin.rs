//! Begins a transaction: chooses a server and checks out the connection that the transaction uses until its end.
use super::DirectProxy;
use super::check_out::{CheckoutRequest, check_out};
use super::connection::{Connection, ConnectionError, SessionSettings};
use super::monitored_call::CallContext;
use super::pool::Checkout;
use super::replies::{RETRY_AFTER_REJECTION, leaves_idle, reject_reason, rejection_error, unanswered_error};
use super::retry::Backoff;
use super::route::{Deadlines, ResolvedRoute};
use super::server_choice::{
    ReadTarget, choose_read_target, fence_if_accepting, fence_if_primary, wait_for_primary,
};
use super::transaction::OpenTransaction;
use crate::ports::{RejectReason, ServerCall, ServerReply, TransactionState};
use crate::routing::in_flight::InFlightGuard;
use crate::tenants::OperationAdmission;
use quincehatch_core::{Error, ErrorCode, FencingToken};
use quincehatch_runtime::now;

/// The parameters of a transaction that is to begin.
pub(super) struct BeginRequest {
    pub route: ResolvedRoute,
    /// Whether the client declared the transaction as read-only.
    pub read_only: bool,
}

/// The result of one attempt to begin.
enum BeginAttempt {
    Begun {
        checkout: Checkout,
        fence: FencingToken,
    },
    /// The server stopped being the primary, or the client's key was revoked, before anything was sent.
    NotStarted,
    /// The tenant is at its limit.
    Rejected(Error),
    Retry(Error),
}

/// The context that all attempts to begin one transaction share.
#[derive(Clone, Copy)]
struct BeginContext<'a> {
    direct: &'a DirectProxy,
    settings: &'a SessionSettings,
    deadlines: Deadlines,
    /// The transaction is not begun at a server before this is granted.
    admission: &'a OperationAdmission<'a>,
}

impl BeginRequest {
    /// Begins the transaction at a suitable server.
    ///
    /// # Errors
    /// If the tenant's key is revoked or its limit reached, or if no server began the transaction in time. Nothing of
    /// the transaction was run then.
    pub async fn begin(
        self,
        direct: &DirectProxy,
        settings: &SessionSettings,
    ) -> Result<OpenTransaction, Error> {
        let admission = direct.admit_operation(&self.route)?;
        let deadlines = self.route.transaction_deadlines();
        let context = BeginContext { direct, settings, deadlines, admission: &admission };
        let on_any_server = self.read_only && !self.route.primary_only;
        let mut tried = Vec::new();
        let mut backoff = Backoff::default();
        let mut last_error = ErrorCode::ConnectionsBusy.without_detail();
        loop {
            direct.check_tenant(&self.route)?;
            let mut in_flight = None;
            let target = if on_any_server {
                choose_read_target(direct, &self.route, &tried, false)
            } else {
                // Counted as in flight before the primary is looked up, so that a primary handover either waits for
                // this transaction, or is seen by the lookup.
                in_flight = Some(direct.proxy.registry.in_flight.begin(&self.route.group));
                let server = wait_for_primary(direct, &self.route.group, deadlines.start_by).await?;
                Some(ReadTarget { server, floor: None })
            };
            if let Some(target) = target {
                match self.attempt(context, &target).await {
                    BeginAttempt::Begun { checkout, fence } => {
                        drop(admission);
                        return Ok(self.opened(checkout, target, fence, in_flight));
                    }
                    BeginAttempt::NotStarted => {}
                    BeginAttempt::Rejected(error) => return Err(error),
                    BeginAttempt::Retry(error) => last_error = error,
                }
                tried.push(target.server);
            } else {
                tried.clear();
            }
            drop(in_flight);
            if deadlines.start_deadline_passed() {
                return Err(last_error.with_retry_after(RETRY_AFTER_REJECTION));
            }
            backoff.pause().await;
        }
    }

    fn opened(
        self,
        checkout: Checkout,
        target: ReadTarget,
        fence: FencingToken,
        in_flight: Option<InFlightGuard>,
    ) -> OpenTransaction {
        OpenTransaction {
            checkout,
            on_primary: target.is_primary(),
            server: target.server,
            route: self.route,
            wrote: false,
            fence,
            _in_flight: in_flight,
        }
    }

    async fn attempt(&self, begin: BeginContext<'_>, target: &ReadTarget) -> BeginAttempt {
        let BeginContext { direct, settings, deadlines, admission } = begin;
        let (route, server) = (&self.route, &target.server);
        let request = CheckoutRequest::new(route, settings, deadlines.start_by);
        let mut checkout = match check_out(direct, server, request).await {
            Ok(checkout) => checkout,
            Err(error) => return BeginAttempt::Retry(error.code().without_detail()),
        };
        if let Err(error) = admission.wait().await {
            checkout.check_in();
            return BeginAttempt::Rejected(error);
        }
        let was_replaced = target.is_primary() && fence_if_accepting(direct, &route.group, server).is_none();
        // The client's key may have been revoked while the transaction waited.
        if was_replaced || direct.check_tenant(route).is_err() {
            checkout.check_in();
            return BeginAttempt::NotStarted;
        }
        let context = CallContext::new(direct, server, route);
        let fence = fence_if_primary(direct, &route.group, server).unwrap_or_default();
        let begin = ServerCall::Begin { read_only: self.read_only, floor: target.floor };
        let reply = match send_begin(&mut checkout.connection, &context, settings, &begin, deadlines).await {
            Ok(reply) => reply,
            Err(error) => return BeginAttempt::Retry(unanswered_error(&error)),
        };
        if reply.rejection.is_none() && reply.transaction_state == TransactionState::Open {
            return BeginAttempt::Begun { checkout, fence };
        }
        if leaves_idle(&reply) {
            checkout.check_in();
        }
        let reason = reject_reason(&reply).unwrap_or(RejectReason::Other);
        if reason == RejectReason::NotPrimary && target.is_primary() {
            server.record_not_primary(now());
        }
        BeginAttempt::Retry(rejection_error(reason))
    }
}

async fn send_begin(
    connection: &mut Connection,
    context: &CallContext<'_>,
    settings: &SessionSettings,
    begin: &ServerCall,
    deadlines: Deadlines,
) -> Result<ServerReply, ConnectionError> {
    connection.apply_settings(context, settings, deadlines.time_left()).await?;
    connection.call(context, begin, deadlines.time_left()).await
}
