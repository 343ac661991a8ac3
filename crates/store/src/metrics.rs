//! The metrics of a keeper, derived from its status (docs/operate.md lists them).
use crate::messages::{KeeperStatus, LeaseStatus, PollCounts};
use quincehatch_metrics::Metric;

const MS_PER_SECOND: f64 = 1_000.0;

/// Returns the metrics of a keeper with this status.
pub fn keeper_metrics(status: &KeeperStatus) -> Vec<Metric> {
    let mut metrics = chain_metrics(status);
    metrics.extend(replication_metrics(status));
    metrics.extend(lease_metrics(&status.leases));
    metrics.extend(poll_metrics(status.polls));
    metrics.push(
        Metric::gauge("disk_bytes", "Size of the data folder")
            .with_label("what", "used", status.disk.used as f64)
            .with_label("what", "allowed", status.disk.allowed as f64),
    );
    metrics
        .push(Metric::gauge("log_entries", "Entries kept in memory").with_value(status.log.entries as f64));
    metrics.push(Metric::gauge("log_bytes", "Bytes of these entries").with_value(status.log.bytes as f64));
    metrics
}

fn chain_metrics(status: &KeeperStatus) -> Vec<Metric> {
    let view = &status.view;
    let position = view.members.iter().position(|member| *member == status.name);
    // The position of the head is 1; 0 means outside the chain.
    let position = position.map_or(0, |index| index + 1);
    let flag = |condition: bool| f64::from(u8::from(condition));
    vec![
        Metric::gauge("view_version", "Newest view that the keeper knows").with_value(view.version as f64),
        Metric::gauge("view_members", "Members of the chain").with_value(view.members.len() as f64),
        Metric::gauge("view_voters", "Keepers that vote").with_value(view.voters.len() as f64),
        Metric::gauge("chain_position", "Place in the chain, the head is 1; 0 outside")
            .with_value(position as f64),
        Metric::gauge("votes", "1 if the keeper votes").with_value(flag(view.is_voter(&status.name))),
        Metric::gauge("serves", "1 if the keeper answers as the tail").with_value(flag(status.serving)),
    ]
}

fn replication_metrics(status: &KeeperStatus) -> Vec<Metric> {
    let change_gauge = |name: &'static str, help: &'static str, number: u64| {
        Metric::gauge(name, help).with_value(number as f64)
    };
    vec![
        change_gauge("change_held", "Newest entry that the keeper holds", status.last_change),
        change_gauge("change_committed", "Newest entry that it knows to be committed", status.committed),
        change_gauge("change_in_force", "Newest entry that every lease holder applied", status.in_force),
        change_gauge("configuration_version", "Version of the configuration that it holds", status.version),
    ]
}

fn poll_metrics(polls: PollCounts) -> Vec<Metric> {
    vec![
        Metric::gauge("polls_waiting", "Polls of nodes that wait for a change")
            .with_value(polls.waiting as f64),
        Metric::counter("polls_answered", "Polls of nodes that were answered")
            .with_value(polls.answered as f64),
    ]
}

fn lease_metrics(leases: &[LeaseStatus]) -> Vec<Metric> {
    let shortest = leases.iter().map(|lease| lease.remaining_ms).min().unwrap_or_default();
    let oldest_applied = leases.iter().map(|lease| lease.applied).min().unwrap_or_default();
    vec![
        Metric::gauge("leases", "Leases of nodes that the keeper has granted")
            .with_value(leases.len() as f64),
        Metric::gauge("lease_shortest_seconds", "Time until the first of them ends")
            .with_value(shortest as f64 / MS_PER_SECOND),
        Metric::gauge("lease_oldest_change", "Oldest change that a lease holder is at")
            .with_value(oldest_applied as f64),
    ]
}
