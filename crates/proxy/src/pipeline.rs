//! The filters that every request passes through, in order. Each of them may answer the request; the last one executes
//! it.
use crate::client_api::reply::RequestResult;
use crate::client_api::request::{ClientRequest, Operation};
use crate::outcome_query::{Seal, resolve_outcome};
use crate::primary_read::read_on_primary;
use crate::read::read;
use crate::services::Services;
use crate::session_filter::handle_session;
use crate::transaction::operations as transaction;
use crate::write::write;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;

/// The result of a filter: `None` passes the request on, and `Some` answers it.
pub type FilterFuture<'a> = Pin<Box<dyn Future<Output = Option<RequestResult>> + Send + 'a>>;

/// A filter of requests.
pub struct Filter {
    /// The filter's name in a request's steps.
    pub name: &'static str,
    /// Applies the filter to a request.
    pub apply: for<'a> fn(&'a Arc<Services>, &'a mut ClientRequest) -> FilterFuture<'a>,
}

/// Deadlines that a client may set, in milliseconds.
pub const DEADLINE_RANGE: RangeInclusive<Millis> = 50..=60_000;
/// The maximum length of a statement's text, in bytes.
pub const MAX_TEXT_BYTES: usize = 32 << 10;
/// The maximum length of idempotency keys and names, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Suggested wait before a client retries after the node turned out to be stopping.
const STOPPING_RETRY_AFTER: Millis = 200;
/// Suggested wait before a client retries after the node had no lease.
const NO_LEASE_RETRY_AFTER: Millis = 500;
/// Suggested wait before a client retries after the node had no configuration.
const NO_CONFIGURATION_RETRY_AFTER: Millis = 1_000;
/// The label that names the zone of the node that received the request. It is the deprecated name of `zone`; selectors
/// match both names, so a label `zone` that the client sets itself is preserved.
const ZONE_LABEL: &str = "district";

/// All filters, in order.
pub const FILTERS: &[Filter] = &[
    Filter { name: "limits", apply: |_, request| Box::pin(async { check_limits(request).err().map(Err) }) },
    Filter {
        name: "ready",
        apply: |services, request| Box::pin(async { check_ready(services, request).err().map(Err) }),
    },
    Filter { name: "deadline", apply: |_, request| Box::pin(async { set_deadline(request).err().map(Err) }) },
    Filter { name: "session", apply: |services, request| Box::pin(handle_session(services, request)) },
    Filter {
        name: "route",
        apply: |services, request| Box::pin(async { choose_route(services, request).err().map(Err) }),
    },
    Filter {
        name: "tenant",
        apply: |services, request| Box::pin(async { admit_tenant(services, request).await.err().map(Err) }),
    },
    Filter {
        name: "placement",
        apply: |_, request| Box::pin(async { choose_group(request).err().map(Err) }),
    },
    Filter {
        name: "execute",
        apply: |services, request| Box::pin(async { Some(execute(services, request).await) }),
    },
];

/// Runs a request through all filters.
pub async fn run(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    for filter in FILTERS {
        request.add_step(filter.name);
        if let Some(result) = (filter.apply)(services, request).await {
            return result;
        }
    }
    Err(ErrorCode::NoSuchCall.without_detail())
}

fn check_limits(request: &ClientRequest) -> Result<(), Error> {
    use Operation::{Commit, Lookup, Order, Outcome, Prepare, Run, Set};
    let operation = request.operation;
    let malformed = |detail: &str| Err(ErrorCode::Malformed.with_detail(detail));
    if request.text().len() > MAX_TEXT_BYTES {
        let detail = format_args!("the text is longer than {MAX_TEXT_BYTES} bytes");
        return Err(ErrorCode::TooLarge.with_detail(detail));
    }
    let body = &request.body;
    if has_invalid_length(body.idempotency_key.as_deref()) || has_invalid_length(body.name.as_deref()) {
        return malformed("an idempotency key or name must have 1 to 128 bytes");
    }
    if matches!(operation, Set | Prepare | Order | Lookup | Run) && request.text().is_empty() {
        return malformed("text is missing");
    }
    if matches!(operation, Order | Commit | Outcome) && body.idempotency_key.is_none() {
        return Err(ErrorCode::MissingIdempotencyKey.without_detail());
    }
    if operation == Prepare && body.name.is_none() {
        return malformed("name is missing");
    }
    if operation.needs_session() && body.session.is_none() {
        return malformed("session is missing");
    }
    Ok(())
}

fn has_invalid_length(name: Option<&str>) -> bool {
    name.is_some_and(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
}

fn check_ready(services: &Services, request: &ClientRequest) -> Result<(), Error> {
    use Operation::{Close, Commit, Outcome, Rollback, Run};
    // A stopping node lets clients finish open transactions and sessions.
    let finishes_open_work = matches!(request.operation, Run | Commit | Rollback | Close | Outcome);
    if services.registry.is_stopping() && !finishes_open_work {
        return Err(ErrorCode::Stopping.without_detail().with_retry_after(STOPPING_RETRY_AFTER));
    }
    if !services.registry.has_lease() {
        return Err(ErrorCode::NoLease.without_detail().with_retry_after(NO_LEASE_RETRY_AFTER));
    }
    match request.configuration() {
        Ok(_) => Ok(()),
        Err(error) => Err(error.with_retry_after(NO_CONFIGURATION_RETRY_AFTER)),
    }
}

fn set_deadline(request: &mut ClientRequest) -> Result<(), Error> {
    let (min, max) = (*DEADLINE_RANGE.start(), *DEADLINE_RANGE.end());
    let wanted = request.body.deadline_ms.unwrap_or(max);
    if !DEADLINE_RANGE.contains(&wanted) {
        let detail = format_args!("{wanted} ms is outside {min} to {max}");
        return Err(ErrorCode::InvalidDeadline.with_detail(detail));
    }
    request.deadline = request.started_at + wanted;
    if now() >= request.deadline {
        return Err(ErrorCode::DeadlinePassed.without_detail());
    }
    Ok(())
}

fn choose_route(services: &Services, request: &mut ClientRequest) -> Result<(), Error> {
    let class = match request.operation {
        Operation::Order | Operation::Begin | Operation::Outcome => "order",
        Operation::Lookup if request.body.primary_read => "order",
        Operation::Lookup => "lookup",
        _ => return Ok(()),
    };
    let configuration = request.configuration()?;
    let mut labels = request.body.labels.clone();
    labels.insert(ZONE_LABEL.into(), services.settings.zone.as_str().into());
    let route = configuration.route_for(class, &labels).ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
    // A waiting request fails at the route's timeout or at its own deadline, whichever comes first.
    request.deadline = request.deadline.min(request.started_at + route.timeout_ms);
    request.site.placement = route.placement.as_str().into();
    request.route = Some(route.clone());
    Ok(())
}

/// Authenticates the client, and admits the request against its tenant's limit if it counts towards it. A step of a
/// transaction has no route; its key is compared with the one that began the transaction.
async fn admit_tenant(services: &Services, request: &ClientRequest) -> Result<(), Error> {
    let Some(route) = &request.route else { return Ok(()) };
    let tenant = request.tenant(route)?;
    let is_counted = matches!(request.operation, Operation::Order | Operation::Lookup | Operation::Begin);
    let has_limit = |tenant: &Name| request.cluster_state.tenants.has_limit(tenant);
    match tenant.filter(|tenant| is_counted && has_limit(tenant)) {
        Some(tenant) => services.quota.admit(&tenant)?.wait().await,
        None => Ok(()),
    }
}

/// Sets the group of a request whose route may write: the only group of the route's placement.
fn choose_group(request: &mut ClientRequest) -> Result<(), Error> {
    let Some(route) = &request.route else { return Ok(()) };
    let configuration = request.configuration()?;
    let placement =
        configuration.placement(&route.placement).ok_or_else(|| ErrorCode::NoPlacement.without_detail())?;
    if route.class == "order" {
        let groups = placement.select.get("group").map_or(&[][..], Vec::as_slice);
        let [group] = groups else {
            return Err(ErrorCode::NoPlacement.with_detail("writes need a placement of one group"));
        };
        request.group = group.as_str().into();
    }
    Ok(())
}

async fn execute(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    match request.operation {
        Operation::Order => write(services, request).await,
        Operation::Lookup if request.body.primary_read => read_on_primary(services, request).await,
        Operation::Lookup => read(services, request).await,
        Operation::Begin => transaction::begin(services, request).await,
        Operation::Run => transaction::run(services, request).await,
        Operation::Commit => transaction::commit(services, request).await,
        Operation::Rollback => transaction::rollback(services, request).await,
        Operation::Outcome => {
            let key = request.body.idempotency_key.clone().unwrap_or_default();
            let seal = if request.body.seal { Seal::IfNotCommitted } else { Seal::Never };
            resolve_outcome(services, request, &key, seal).await
        }
        Operation::Open | Operation::Set | Operation::Prepare | Operation::Close => {
            Err(ErrorCode::NoSuchCall.without_detail())
        }
    }
}
