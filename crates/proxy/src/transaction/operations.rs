//! Begins, continues and ends clients' transactions.
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

/// Suggested wait before a client retries after the server failed or did not answer in time.
const FAILED_RETRY_AFTER: Millis = 500;
/// How long the injected bug `lent` leaves the connection to other requests.
const SHARED_CONNECTION_PAUSE: Duration = Duration::from_millis(2);

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
        // A reply without an error that lacks the server's own stamp or rows is no success, so its connection is
        // dropped.
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

/// A transaction that was detached from its session for one step, and its connection.
struct DetachedTransaction {
    /// The transaction, without its connection.
    transaction: OpenTransaction,
    checkout: ServerCheckout,
}

/// Detaches the open transaction from its session. The transaction ends unless the caller reattaches it.
fn detach_transaction(request: &mut ClientRequest) -> Result<DetachedTransaction, Error> {
    let detached = session(request)?.transaction.take();
    let mut transaction = detached.ok_or_else(|| ErrorCode::NoTransaction.without_detail())?;
    // Dropping the transaction rolls back what ran under a key that was revoked meanwhile.
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
    Ok(DetachedTransaction { transaction, checkout })
}

impl DetachedTransaction {
    /// Returns the transaction to its session after a step that ran.
    fn reattach(self, request: &mut ClientRequest, digest: Name) -> Result<(), Error> {
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
    let DetachedTransaction { transaction, mut checkout } = detach_transaction(request)?;
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
    // A transaction is never retried at another server: a failure ends it, and none of it is applied.
    let (reply, checkout) = match outcome {
        AttemptOutcome::Reply(reply, checkout) => (reply, checkout),
        AttemptOutcome::ConnectionFailed(_) => return Err(transaction_lost("the connection failed")),
        AttemptOutcome::TimedOut => return Err(transaction_lost("a statement was not answered in time")),
    };
    let result = read_reply(&services.registry, request, transaction.fence, &reply);
    match result {
        Err(error) if !reply.has_error_code(STATEMENT_FAILED) => Err(transaction_lost(error.code)),
        result => {
            let detached = DetachedTransaction { transaction, checkout };
            if seam::injected_bug("lent") {
                share_connection_between_statements(services, request, detached, digest).await?;
            } else {
                detached.reattach(request, digest)?;
            }
            result
        }
    }
}

fn transaction_lost(detail: impl std::fmt::Display) -> Error {
    ErrorCode::TransactionLost.with_detail(detail)
}

/// The injected bug `lent`: between two statements of a transaction, other requests may use its connection.
async fn share_connection_between_statements(
    services: &Arc<Services>,
    request: &mut ClientRequest,
    detached: DetachedTransaction,
    digest: Name,
) -> Result<(), Error> {
    let DetachedTransaction { mut transaction, checkout } = detached;
    let configuration = request.configuration()?;
    let server = checkout.server().clone();
    checkout.check_in();
    let setup = request.session_state().setup();
    seam::sleep(SHARED_CONNECTION_PAUSE).await;
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
    let DetachedTransaction { transaction, mut checkout } = detach_transaction(request)?;
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

/// Rolls back the open transaction.
///
/// If the server does not confirm the rollback, nothing is applied either, because dropping the connection rolls back
/// too. The result is still an error, because there is no stamp of the server.
pub async fn rollback(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let DetachedTransaction { transaction, mut checkout } = detach_transaction(request)?;
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
