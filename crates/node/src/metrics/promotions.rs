//! Metrics of the promotions that this node carried out.
use super::MS_PER_SECOND;
use crate::Node;
use quincehatch_metrics::Metric;

pub(super) fn promotion_metrics(node: &Node) -> Vec<Metric> {
    let counts = &node.promotion_state.counts;
    let mut entered = Metric::counter("promotion_phases", "Phases of promotions that were gone through");
    let mut seconds = Metric::counter("promotion_phase_seconds", "Time spent in the phases of promotions");
    for (phase, total) in counts.phases() {
        entered = entered.with_label("phase", phase, total.count as f64);
        seconds = seconds.with_label("phase", phase, total.total_ms as f64 / MS_PER_SECOND);
    }
    let outcomes = Metric::counter("promotions", "Promotions by how they ended");
    let outcomes = counts
        .outcomes()
        .iter()
        .fold(outcomes, |metric, (outcome, count)| metric.with_label("outcome", outcome, *count as f64));
    vec![outcomes, entered, seconds]
}
