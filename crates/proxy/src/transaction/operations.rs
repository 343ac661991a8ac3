//! Begins, continues and ends a client's transaction.
use crate::attempt::{Attempt, AttemptOutcome, pending_reply, send};
use crate::client_api::reply::{RequestResult, SITE_PRIMARY};
use crate::client_api::request::{ClientRequest, content_digest};
use crate::pool::slots::ConnectionUse;
use crate::pool::{CheckoutRequest, PoolLimits, check_out};
use crate::primary_connection::{REPLY_RESERVE, connect_to_primary};
use crate::primary_read::{read_reply, waits_for_start};
use crate::rejections::rejection_error;
use crate::routing::registry::ServerCheckout;
use crate::server_protocol::{IdempotentWrite, Reply, STATEMENT_FAILED, call};
use crate::services::Services;
use crate::session::sessions::Session;
use crate::transaction::open::OpenTransaction;
use crate::write::finish_commit;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// When a client may come again after the server failed or did not answer in time.
const FAILED_RETRY_AFTER: Millis = 500;
/// How long the injected bug `lent` leaves the connection to others.
const LENT_FOR: Duration = Duration::from_millis(2);

/// Begins a transaction on the primary.
pub async fn begin(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    if session(request)?.transaction.is_some() {
        return Err(ErrorCode::InTransaction.without_detail());
    }
    let (configuration, route) = request.configuration_and_route()?;
    let tenant = request.tenant(&route)?;
    let mut primary = connect_to_primary(services, request).await?;
    let fence = primary.fence;
    let in_flight = services.registry.in_flight.begin(&request.group);
    let server_request = call::begin(&primary.checkout.connection().id, fence);
    let pending = pending_reply(&configuration, &route);
    let attempt = Attempt::new(services, primary.checkout, server_request, pending);
    let (reply, checkout) = match send(services, attempt, request.deadline).await {
        AttemptOutcome::Reply(reply, checkout) => (reply, checkout),
        AttemptOutcome::ConnectionFailed(error) => {
            return Err(error.to_error().with_retry_after(FAILED_RETRY_AFTER));
        }
        AttemptOutcome::TimedOut => {
            return Err(ErrorCode::DeadlinePassed.without_detail().with_retry_after(FAILED_RETRY_AFTER));
        }
    };
    match reply.success_of(&request.site.server) {
        Some(success) if reply.stamp.fence == fence => {
            let transaction = OpenTransaction {
                checkout: Some(checkout),
                fence,
                group: request.group.clone(),
                server: request.site.server.clone(),
                placement: request.site.placement.clone(),
                route,
                tenant,
                digest: Name::default(),
                last_used: now(),
                in_flight,
            };
            session(request)?.transaction = Some(transaction);
            Ok(success)
        }
        // A success whose stamp or rows are not the server's own is none; its connection is dropped.
        _ if reply.error.is_none() => Err(ErrorCode::InvalidReply.without_detail()),
        _ => {
            checkout.check_in();
            Err(rejection_error(&reply))
        }
    }
}

fn session(request: &mut ClientRequest) -> Result<&mut Session, Error> {
    request.session.as_deref_mut().ok_or_else(|| ErrorCode::SessionUnknown.without_detail())
}

/// A transaction taken out of its session for one step, and its connection.
struct TakenTransaction {
    /// The transaction, without its connection.
    transaction: OpenTransaction,
    checkout: ServerCheckout,
}

/// Takes the open transaction out of its session; whoever puts it back says that it goes on.
fn take_transaction(request: &mut ClientRequest) -> Result<TakenTransaction, Error> {
    let taken = session(request)?.transaction.take();
    let mut transaction = taken.ok_or_else(|| ErrorCode::NoTransaction.without_detail())?;
    // Dropping it rolls back what ran under a key that was revoked since.
    if request.tenant(&transaction.route)? != transaction.tenant {
        return Err(ErrorCode::Unauthenticated.without_detail());
    }
    request.group = transaction.group.clone();
    request.site.server = transaction.server.clone();
    request.site.placement = transaction.placement.clone();
    request.site.health = SITE_PRIMARY.into();
    request.deadline = request.deadline.min(request.started_at + transaction.route.timeout_ms);
    let lost = || ErrorCode::TransactionLost.without_detail();
    let mut checkout = transaction.checkout.take().ok_or_else(lost)?;
    if checkout.connection().is_closed() {
        return Err(lost());
    }
    Ok(TakenTransaction { transaction, checkout })
}

impl TakenTransaction {
    /// Puts the transaction back into its session after a step that ran.
    fn put_back(self, request: &mut ClientRequest, digest: Name) -> Result<(), Error> {
        let mut transaction = self.transaction;
        transaction.checkout = Some(self.checkout);
        transaction.digest = digest;
        transaction.last_used = now();
        session(request)?.transaction = Some(transaction);
        Ok(())
    }
}

/// Runs one statement of the open transaction.
pub async fn run(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let TakenTransaction { transaction, mut checkout } = take_transaction(request)?;
    let configuration = request.configuration()?;
    request.site.zone = checkout.server().zone();
    let digest = content_digest(&transaction.digest, request.text(), &request.body.params);
    let pending = pending_reply(&configuration, &transaction.route);
    let outcome = loop {
        let server_request = call::run(&checkout.connection().id, request.text(), &request.body.params);
        let attempt = Attempt::new(services, checkout, server_request, pending);
        match send(services, attempt, request.deadline).await {
            AttemptOutcome::Reply(reply, returned) if waits_for_start(request, &reply).await => {
                checkout = returned;
            }
            outcome => break outcome,
        }
    };
    // A transaction is never retried elsewhere: a failure ends it, and nothing of it was applied.
    let (reply, checkout) = match outcome {
        AttemptOutcome::Reply(reply, checkout) => (reply, checkout),
        AttemptOutcome::ConnectionFailed(_) => return Err(lost("the connection failed")),
        AttemptOutcome::TimedOut => return Err(lost("a statement was not answered in time")),
    };
    let result = read_reply(&services.registry, request, transaction.fence, &reply);
    match result {
        Err(error) if !reply.has_error_code(STATEMENT_FAILED) => Err(lost(error.code)),
        result => {
            let taken = TakenTransaction { transaction, checkout };
            if seam::injected_bug("lent") {
                lend_between_statements(services, request, taken, digest).await?;
            } else {
                taken.put_back(request, digest)?;
            }
            result
        }
    }
}

fn lost(detail: impl std::fmt::Display) -> Error {
    ErrorCode::TransactionLost.with_detail(detail)
}

/// The injected bug `lent`: between two statements of a transaction others may have its connection.
async fn lend_between_statements(
    services: &Arc<Services>,
    request: &mut ClientRequest,
    taken: TakenTransaction,
    digest: Name,
) -> Result<(), Error> {
    let TakenTransaction { mut transaction, checkout } = taken;
    let configuration = request.configuration()?;
    let server = checkout.server().clone();
    checkout.check_in();
    let setup = request.session_state().setup();
    seam::sleep(LENT_FOR).await;
    let checkout_request = CheckoutRequest {
        node: &services.settings.name,
        usage: ConnectionUse::Write,
        limits: PoolLimits::of_primary(&configuration),
        setup: &setup,
        deadline: request.deadline,
    };
    transaction.checkout = check_out(&server, &checkout_request).await.ok();
    transaction.digest = digest;
    transaction.last_used = now();
    session(request)?.transaction = Some(transaction);
    Ok(())
}

/// Commits the open transaction under its idempotency key.
pub async fn commit(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let key = request.idempotency_key()?;
    let TakenTransaction { transaction, mut checkout } = take_transaction(request)?;
    let configuration = request.configuration()?;
    request.site.zone = checkout.server().zone();
    let fence = transaction.fence;
    let write = IdempotentWrite { key: &key, digest: &transaction.digest, fence };
    let server_request = call::commit(&checkout.connection().id, &write);
    let pending = pending_reply(&configuration, &transaction.route);
    let attempt = Attempt::new(services, checkout, server_request, pending);
    let outcome = send(services, attempt, request.deadline.saturating_sub(REPLY_RESERVE)).await;
    finish_commit(services, request, &key, fence, outcome).await
}

/// Rolls the open transaction back.
///
/// Without the server's own word nothing was applied either, as the connection is dropped and that rolls back too; but it
/// is no success, for nothing has a stamp.
pub async fn rollback(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let TakenTransaction { transaction, mut checkout } = take_transaction(request)?;
    let configuration = request.configuration()?;
    request.site.zone = checkout.server().zone();
    let server_request = call::rollback(&checkout.connection().id);
    let pending = pending_reply(&configuration, &transaction.route);
    let attempt = Attempt::new(services, checkout, server_request, pending);
    match send(services, attempt, request.deadline).await {
        AttemptOutcome::Reply(reply, checkout) => read_rollback_reply(request, &reply, checkout),
        AttemptOutcome::ConnectionFailed(_) => Err(rolled_back("the connection failed")),
        AttemptOutcome::TimedOut => Err(rolled_back("the server did not answer in time")),
    }
}

fn read_rollback_reply(request: &ClientRequest, reply: &Reply, checkout: ServerCheckout) -> RequestResult {
    if let Some(success) = reply.success_of(&request.site.server) {
        checkout.check_in();
        return Ok(success);
    }
    match reply.error {
        Some(_) => Err(rolled_back("the server rejected the call")),
        None => Err(rolled_back("the server's reply lacked its own stamp or rows")),
    }
}

fn rolled_back(detail: &str) -> Error {
    ErrorCode::RolledBack.with_detail(detail)
}
