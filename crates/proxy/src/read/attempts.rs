//! The attempts of one read: which servers were asked, and why there is no answer yet.
use crate::attempt::{Attempt, AttemptOutcome, note_checkout_error, pending_reply, send_with_extension};
use crate::client_api::reply::RequestResult;
use crate::client_api::request::ClientRequest;
use crate::health::overdue_replies::PendingReply;
use crate::pool::slots::ConnectionUse;
use crate::pool::{CheckoutError, CheckoutRequest, PoolLimits, check_out};
use crate::read::freshness::{AskedServer, is_fresh};
use crate::read::rounds::{RoundOutcome, Rounds};
use crate::rejections::rejection_error;
use crate::routing::registry::{Registry, ServerCheckout};
use crate::routing::server_choice::{self, ChoiceReason, ReadQuery, ServerChoice};
use crate::server_protocol::{DRAINING, Reply, STARTING, call};
use crate::services::Services;
use crate::session::state::SessionState;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(40);
/// When a client may come again after no server could answer.
const RETRY_AFTER: Millis = 500;

/// A read on its way from server to server.
pub struct ReadAttempts {
    configuration: Arc<Configuration>,
    route: Route,
    session: SessionState,
    pending: PendingReply,
    /// Servers asked in this round.
    tried: Vec<Name>,
    rounds: Rounds,
    /// Why there is no answer yet.
    last_error: Error,
}

/// What came of asking one server.
pub enum Step {
    /// The read is over.
    Done(RequestResult),
    /// Another server is asked.
    TryNext,
}

impl ReadAttempts {
    /// Attempts of a request that has a route; none was made yet.
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

    /// The server to ask next.
    pub fn choose(
        &self,
        services: &Services,
        request: &ClientRequest,
        attempt_id: u64,
    ) -> Option<ServerChoice> {
        let query = ReadQuery {
            cluster_state: &request.cluster_state,
            placement: &request.site.placement,
            zone: &services.settings.zone,
            tried: &self.tried,
            can_retry: request.time_left() > self.route.timeout_ms / 2,
            long_running: self.route.long_running,
            attempt_id,
        };
        server_choice::choose_server(&services.registry, &query)
    }

    /// All servers were asked. A stale or busy one may do better in a moment: a few rounds, no more. While the primary was
    /// not observed of late nothing can be proved fresh, and soon may be again.
    pub async fn wait_for_next_round(
        &mut self,
        services: &Services,
        request: &ClientRequest,
    ) -> Result<(), Error> {
        let outcome = match (self.tried.is_empty(), self.may_do_better()) {
            (true, _) => RoundOutcome::NobodyAsked,
            (false, true) => RoundOutcome::MayDoBetter,
            (false, false) => RoundOutcome::Hopeless,
        };
        if !self.rounds.end(outcome, request.time_left()) {
            return Err(self.last_error.clone().with_retry_after(RETRY_AFTER));
        }
        // Nobody is asked again before an answer could be proved fresh.
        let needed = services.registry.needed_position(&request.group, self.route.max_staleness_ms);
        if needed.is_some() {
            self.tried.clear();
        }
        seam::sleep(ROUND_PAUSE).await;
        Ok(())
    }

    fn may_do_better(&self) -> bool {
        self.last_error.has_code(ErrorCode::Stale) || self.last_error.has_code(ErrorCode::ConnectionsBusy)
    }

    /// The error of a read whose time is over.
    pub fn deadline_error(self) -> Error {
        let error = match self.may_do_better() {
            true => self.last_error,
            false => ErrorCode::DeadlinePassed.without_detail(),
        };
        error.with_retry_after(RETRY_AFTER)
    }

    /// Asks one server.
    pub async fn ask(
        &mut self,
        services: &Arc<Services>,
        request: &mut ClientRequest,
        choice: &ServerChoice,
    ) -> Step {
        self.tried.push(choice.server.name.clone());
        request.group = choice.server.group();
        request.set_site(&choice.server, choice.reason.label());
        let deadline = server_choice::patience(choice, self.route.long_running, request.deadline);
        let mut checkout = match self.check_out(services, choice, deadline).await {
            Ok(checkout) => checkout,
            Err(error) => {
                self.note_checkout_error(services, request, choice, error);
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
        let asked = AskedServer { choice, at: now() };
        let first_attempt = self.tried.len() == 1 && self.rounds.is_first();
        let pending = PendingReply { first_attempt, ..self.pending };
        let attempt = Attempt { id: choice.attempt_id, checkout, request: server_request, pending };
        let request_deadline = request.deadline;
        let extend = || server_choice::extend_patience(choice, &services.retry_budget, request_deadline);
        match send_with_extension(services, attempt, deadline, extend).await {
            AttemptOutcome::Reply(reply, checkout) => {
                checkout.check_in();
                self.read_reply(&services.registry, request, &asked, &reply)
            }
            AttemptOutcome::ConnectionFailed(error) => {
                request.note(format!("{} failed", choice.server.name));
                self.last_error = error.to_error();
                Step::TryNext
            }
            AttemptOutcome::TimedOut => {
                self.note_timeout(services, request, choice);
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

    fn note_checkout_error(
        &mut self,
        services: &Services,
        request: &mut ClientRequest,
        choice: &ServerChoice,
        error: CheckoutError,
    ) {
        if choice.reason == ChoiceReason::Probation {
            choice.server.health.lock().unwrap().request_inconclusive(choice.attempt_id);
        }
        request.note(format!("{} no connection", choice.server.name));
        note_checkout_error(&services.registry, &choice.server, &error);
        self.last_error = error.into_error();
    }

    fn note_timeout(&mut self, services: &Services, request: &mut ClientRequest, choice: &ServerChoice) {
        request.note(format!("{} timed out", choice.server.name));
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
        asked: &AskedServer<'_>,
        reply: &Reply,
    ) -> Step {
        let server = &asked.choice.server;
        if reply.has_error_code(DRAINING) {
            server.set_draining(true);
            return Step::TryNext;
        }
        if reply.has_error_code(STARTING) {
            // It was not run there: others may answer, or this one in a moment.
            request.note(format!("{} is starting", server.name));
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
        if is_fresh(registry, asked, &reply.stamp, self.route.max_staleness_ms) {
            request.note(format!("{} answered", server.name));
            return Step::Done(Ok(success));
        }
        request.note(format!("{} was behind", server.name));
        self.last_error = ErrorCode::Stale.without_detail();
        Step::TryNext
    }
}
