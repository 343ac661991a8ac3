//! The attempts of one read: the servers that were tried, and the last error.
use crate::attempt::{Attempt, AttemptOutcome, pending_reply, record_checkout_error, send_with_extension};
use crate::client_api::reply::RequestResult;
use crate::client_api::request::ClientRequest;
use crate::health::overdue_replies::PendingReply;
use crate::pool::slots::ConnectionUse;
use crate::pool::{CheckoutError, CheckoutRequest, PoolLimits, check_out};
use crate::read::freshness::{QueriedServer, is_fresh};
use crate::read::rounds::{RoundOutcome, Rounds};
use crate::rejections::rejection_error;
use crate::routing::registry::{Registry, ServerCheckout};
use crate::routing::server_choice::{self, ChoiceCriteria, ChoiceReason, ServerChoice};
use crate::server_protocol::{DRAINING, Reply, STARTING, call};
use crate::services::Services;
use crate::session::state::SessionState;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::time::Duration;

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(40);
/// Suggested wait before a client retries a read that no server could answer.
const RETRY_AFTER: Millis = 500;

/// The attempts of one read at one server after another.
pub struct ReadAttempts {
    configuration: Arc<Configuration>,
    route: Route,
    session: SessionState,
    pending: PendingReply,
    /// The servers that were tried in this round.
    tried: Vec<Name>,
    rounds: Rounds,
    /// The reason of the last failed attempt.
    last_error: Error,
}

/// The result of one attempt.
pub enum Step {
    /// The read is complete.
    Done(RequestResult),
    /// Another server is to be tried.
    TryNext,
}

impl ReadAttempts {
    /// Creates the state of a request that has a route and no attempt yet.
    pub fn new(request: &ClientRequest) -> Result<ReadAttempts, Error> {
        let (configuration, route) = request.configuration_and_route()?;
        Ok(ReadAttempts {
            pending: pending_reply(&configuration, &route),
            session: request.session_state(),
            configuration,
            route,
            tried: Vec::new(),
            rounds: Rounds::default(),
            last_error: ErrorCode::AllReplicasEjected.without_detail(),
        })
    }

    /// Chooses the server to try next.
    pub fn choose(
        &self,
        services: &Services,
        request: &ClientRequest,
        attempt_id: u64,
    ) -> Option<ServerChoice> {
        let criteria = ChoiceCriteria {
            cluster_state: &request.cluster_state,
            placement: &request.site.placement,
            zone: &services.settings.zone,
            tried: &self.tried,
            can_retry: request.time_left() > self.route.timeout_ms / 2,
            long_running: self.route.long_running,
            attempt_id,
        };
        server_choice::choose_server(&services.registry, &criteria)
    }

    /// Waits before all servers are tried again, or returns an error if that is not worthwhile. A stale or busy server
    /// may answer shortly, so there are several rounds. While the primary has not been observed recently, no answer can
    /// be proved fresh, which may change soon.
    pub async fn wait_for_next_round(
        &mut self,
        services: &Services,
        request: &ClientRequest,
    ) -> Result<(), Error> {
        let outcome = match (self.tried.is_empty(), self.is_retryable()) {
            (true, _) => RoundOutcome::NoServerAvailable,
            (false, true) => RoundOutcome::Retryable,
            (false, false) => RoundOutcome::NotRetryable,
        };
        if !self.rounds.end(outcome, request.time_left()) {
            return Err(self.last_error.clone().with_retry_after(RETRY_AFTER));
        }
        // No server is tried again before an answer can be proved fresh.
        let required = services.registry.required_position(&request.group, self.route.max_staleness_ms);
        if required.is_some() {
            self.tried.clear();
        }
        seam::sleep(ROUND_PAUSE).await;
        Ok(())
    }

    fn is_retryable(&self) -> bool {
        self.last_error.has_code(ErrorCode::Stale) || self.last_error.has_code(ErrorCode::ConnectionsBusy)
    }

    /// Returns the error of a read whose deadline has passed.
    pub fn deadline_error(self) -> Error {
        let error = match self.is_retryable() {
            true => self.last_error,
            false => ErrorCode::DeadlinePassed.without_detail(),
        };
        error.with_retry_after(RETRY_AFTER)
    }

    /// Sends the read to one server.
    pub async fn try_server(
        &mut self,
        services: &Arc<Services>,
        request: &mut ClientRequest,
        choice: &ServerChoice,
    ) -> Step {
        self.tried.push(choice.server.name.clone());
        request.group = choice.server.group();
        request.set_site(&choice.server, choice.reason.label());
        let deadline = server_choice::attempt_deadline(choice, self.route.long_running, request.deadline);
        let mut checkout = match self.check_out(services, choice, deadline).await {
            Ok(checkout) => checkout,
            Err(error) => {
                self.record_checkout_error(services, request, choice, error);
                return Step::TryNext;
            }
        };
        match checkout.connection().apply_session(&self.session, deadline).await {
            Ok(None) => {}
            Ok(Some(rejection)) => return Step::Done(Err(rejection_error(&rejection))),
            Err(error) => {
                choice.server.health.lock().unwrap().request_inconclusive(choice.attempt_id);
                self.last_error = error.to_error();
                return Step::TryNext;
            }
        }
        let connection_id = &checkout.connection().id;
        let server_request = call::run(connection_id, request.text(), &request.body.params);
        let queried = QueriedServer { choice, sent_at: now() };
        let first_attempt = self.tried.len() == 1 && self.rounds.is_first();
        let pending = PendingReply { first_attempt, ..self.pending };
        let attempt = Attempt { id: choice.attempt_id, checkout, request: server_request, pending };
        let request_deadline = request.deadline;
        let extend = || server_choice::extend_deadline(choice, &services.retry_budget, request_deadline);
        match send_with_extension(services, attempt, deadline, extend).await {
            AttemptOutcome::Reply(reply, checkout) => {
                checkout.check_in();
                self.read_reply(&services.registry, request, &queried, &reply)
            }
            AttemptOutcome::ConnectionFailed(error) => {
                request.add_step(format!("connection to {} failed", choice.server.name));
                self.last_error = error.to_error();
                Step::TryNext
            }
            AttemptOutcome::TimedOut => {
                self.record_timeout(services, request, choice);
                Step::TryNext
            }
        }
    }

    async fn check_out(
        &self,
        services: &Services,
        choice: &ServerChoice,
        deadline: Millis,
    ) -> Result<ServerCheckout, CheckoutError> {
        let limits = match choice.reason {
            ChoiceReason::Primary => PoolLimits::of_primary(&self.configuration),
            _ => PoolLimits::of_replica(&self.configuration),
        };
        let checkout_request = CheckoutRequest {
            node: &services.settings.name,
            usage: ConnectionUse::Read,
            limits,
            setup: &self.session.setup(),
            deadline,
        };
        check_out(&choice.server, &checkout_request).await
    }

    fn record_checkout_error(
        &mut self,
        services: &Services,
        request: &mut ClientRequest,
        choice: &ServerChoice,
        error: CheckoutError,
    ) {
        if choice.reason == ChoiceReason::Probation {
            choice.server.health.lock().unwrap().request_inconclusive(choice.attempt_id);
        }
        request.add_step(format!("no connection to {}", choice.server.name));
        record_checkout_error(&services.registry, &choice.server, &error);
        self.last_error = error.into_error();
    }

    fn record_timeout(&mut self, services: &Services, request: &mut ClientRequest, choice: &ServerChoice) {
        request.add_step(format!("{} timed out", choice.server.name));
        if choice.reason == ChoiceReason::Probation {
            let settings = services.registry.health_settings();
            let mut health = choice.server.health.lock().unwrap();
            health.probation_failed(now(), &settings, choice.attempt_id);
        }
        self.last_error = ErrorCode::DeadlinePassed.without_detail();
    }

    fn read_reply(
        &mut self,
        registry: &Registry,
        request: &mut ClientRequest,
        queried: &QueriedServer<'_>,
        reply: &Reply,
    ) -> Step {
        let server = &queried.choice.server;
        if reply.has_error_code(DRAINING) {
            server.set_draining(true);
            return Step::TryNext;
        }
        if reply.has_error_code(STARTING) {
            // The statement was not run. Another server may answer, or this one shortly.
            request.add_step(format!("{} is starting", server.name));
            self.last_error = ErrorCode::Stale.without_detail();
            return Step::TryNext;
        }
        if reply.error.is_some() {
            return Step::Done(Err(rejection_error(reply)));
        }
        let Some(success) = reply.success_of(&server.name) else {
            self.last_error = ErrorCode::InvalidReply.without_detail();
            return Step::TryNext;
        };
        if is_fresh(registry, queried, &reply.stamp, self.route.max_staleness_ms) {
            request.add_step(format!("{} answered", server.name));
            return Step::Done(Ok(success));
        }
        request.add_step(format!("{} was too stale", server.name));
        self.last_error = ErrorCode::Stale.without_detail();
        Step::TryNext
    }
}
