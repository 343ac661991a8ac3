//! Metrics of tenants, summed over all tenants: a label per tenant would let the number of series grow without bound.
use crate::Node;
use quincehatch_metrics::Metric;

pub(super) fn tenant_metrics(node: &Node) -> Vec<Metric> {
    let state = node.proxy.registry.cluster_state();
    let totals = node.proxy.quota.totals();
    vec![
        Metric::gauge("keys_in_force", "Keys of tenants that are in force here")
            .with_value(state.tenants.key_count() as f64),
        Metric::counter(
            "tenant_operations",
            "Operations of tenants that have a limit, by what became of them",
        )
        .with_label("result", "admitted", totals.admitted as f64)
        .with_label("result", "borrowed", totals.borrowed as f64)
        .with_label("result", "rejected", totals.rejected as f64),
    ]
}
