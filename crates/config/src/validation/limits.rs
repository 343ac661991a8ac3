//! Checks of the numbers in groups, health, connections and queue.
use super::routes::QUERY_TIMEOUT_MS;
use super::validation_errors::ValidationErrors;
use crate::configuration::{Configuration, ConnectionLimits, HealthSettings, QueueLimits};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

const GROUP_CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const KEEPALIVE_IDLE_MS: RangeInclusive<u64> = 1_000..=300_000;
const USER_TIMEOUT_MS: RangeInclusive<u64> = 500..=4_000;
const PROBATION_AFTER_MS: RangeInclusive<u64> = 500..=600_000;
const PROBATION_SUCCESSES: RangeInclusive<u64> = 1..=100;
const EJECT_AT: RangeInclusive<u64> = 1..=1_000;
const EVIDENCE_MS: RangeInclusive<u64> = 100..=600_000;
const CONNECTIONS_PER_REPLICA: RangeInclusive<u64> = 1..=1_024;
const CONNECTIONS_PER_PRIMARY: RangeInclusive<u64> = 2..=1_024;
const PRIMARY_LOOKUP_PERCENT: RangeInclusive<u64> = 1..=90;
const MAX_WAITING: RangeInclusive<u64> = 1..=65_536;
const MAX_SESSIONS: RangeInclusive<u64> = 1..=1_000_000;
const TXN_IDLE_MS: RangeInclusive<u64> = 100..=600_000;

pub(super) fn check_groups(configuration: &Configuration, errors: &mut ValidationErrors) {
    let mut names = BTreeSet::new();
    for (index, group) in configuration.groups.iter().enumerate() {
        let path = format!("groups[{index}]");
        errors.check_name(&format!("{path}.name"), &group.name, &mut names);
        errors.check_range(&format!("{path}.connections"), group.connections, GROUP_CONNECTIONS);
    }
}

pub(super) fn check_sections(configuration: &Configuration, errors: &mut ValidationErrors) {
    check_health(&configuration.health, errors);
    check_connections(&configuration.connections, errors);
    check_queue(&configuration.queue, errors);
}

fn check_health(health: &HealthSettings, errors: &mut ValidationErrors) {
    errors.check_range("health.query_timeout_ms", health.query_timeout_ms, QUERY_TIMEOUT_MS);
    errors.check_range("health.keepalive_idle_ms", health.keepalive_idle_ms, KEEPALIVE_IDLE_MS);
    errors.check_range("health.user_timeout_ms", health.user_timeout_ms, USER_TIMEOUT_MS);
    errors.check_range("health.probation_after_ms", health.probation_after_ms, PROBATION_AFTER_MS);
    errors.check_range("health.probation_successes", health.probation_successes, PROBATION_SUCCESSES);
    errors.check_range("health.eject_at", health.eject_at, EJECT_AT);
    errors.check_range("health.evidence_ms", health.evidence_ms, EVIDENCE_MS);
    check_weight("reset_weight", health.reset_weight, health.eject_at, errors);
    check_weight("overdue_weight", health.overdue_weight, health.eject_at, errors);
    if health.probation_after_max_ms < health.probation_after_ms {
        errors.add("health.probation_after_max_ms: is shorter than probation_after_ms");
    }
}

/// Checks the weight of a kind of evidence that must be enough by itself to eject a server.
fn check_weight(key: &str, weight: u64, eject_at: u64, errors: &mut ValidationErrors) {
    if weight < eject_at {
        errors.add(format!("health.{key}: {weight} is under eject_at {eject_at}; it must suffice by itself"));
    }
}

fn check_connections(connections: &ConnectionLimits, errors: &mut ValidationErrors) {
    errors.check_range("connections.per_replica", connections.per_replica, CONNECTIONS_PER_REPLICA);
    errors.check_range("connections.per_primary", connections.per_primary, CONNECTIONS_PER_PRIMARY);
    let lookup_percent = connections.primary_lookup_percent;
    errors.check_range("connections.primary_lookup_percent", lookup_percent, PRIMARY_LOOKUP_PERCENT);
}

fn check_queue(queue: &QueueLimits, errors: &mut ValidationErrors) {
    errors.check_range("queue.max_waiting", queue.max_waiting, MAX_WAITING);
    errors.check_range("queue.max_sessions", queue.max_sessions, MAX_SESSIONS);
    errors.check_range("queue.txn_idle_ms", queue.txn_idle_ms, TXN_IDLE_MS);
}
