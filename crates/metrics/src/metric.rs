//! Metrics with their samples, and their rendering as text.
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;

/// The prefix of all metric names.
const PREFIX: &str = "quincehatch";

/// How a metric's values change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A current value, which may rise and fall.
    Gauge,
    /// A count that never falls while the process runs.
    Counter,
}

#[derive(Clone, Debug, PartialEq)]
struct Sample {
    labels: Vec<(&'static str, String)>,
    value: f64,
}

/// A metric with its samples at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    name: &'static str,
    help: &'static str,
    kind: MetricKind,
    samples: Vec<Sample>,
}

impl Metric {
    /// Returns a gauge without samples. `name` ends with the unit, if the gauge has one.
    pub fn gauge(name: &'static str, help: &'static str) -> Metric {
        Metric { name, help, kind: MetricKind::Gauge, samples: Vec::new() }
    }

    /// Returns a counter without samples. `name` is given without the suffix `_total`.
    pub fn counter(name: &'static str, help: &'static str) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, samples: Vec::new() }
    }

    /// Adds the only value of a metric without labels.
    pub fn with_value(mut self, value: f64) -> Metric {
        self.samples.push(Sample { labels: Vec::new(), value });
        self
    }

    /// Adds a value under a label.
    pub fn with_label(mut self, label: &'static str, label_value: &str, value: f64) -> Metric {
        self.samples.push(Sample { labels: vec![(label, label_value.to_owned())], value });
        self
    }
}

/// A collector that encodes metrics read from a process's state.
#[derive(Debug)]
struct Snapshot(Vec<Metric>);

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for metric in &self.0 {
            let metric_type = match metric.kind {
                MetricKind::Gauge => MetricType::Gauge,
                MetricKind::Counter => MetricType::Counter,
            };
            let mut family = encoder.encode_descriptor(metric.name, metric.help, None, metric_type)?;
            for Sample { labels, value } in &metric.samples {
                let sample = family.encode_family(labels)?;
                match metric.kind {
                    MetricKind::Gauge => ConstGauge::new(*value).encode(sample)?,
                    MetricKind::Counter => ConstCounter::new(*value).encode(sample)?,
                }
            }
        }
        Ok(())
    }
}

/// Renders metrics as text in the OpenMetrics format.
pub fn render(metrics: Vec<Metric>) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(Snapshot(metrics)));
    let mut rendered = String::new();
    // Writing to a string does not fail.
    let _ = text::encode(&mut rendered, &registry);
    rendered
}
