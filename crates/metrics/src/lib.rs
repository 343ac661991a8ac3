//! Metrics of a process, as text in the OpenMetrics format.
//!
//! A process has no permanent metrics registry: the values are read from its state at each scrape, so metrics cost
//! nothing between scrapes. Labels name kinds and states, never servers, groups or clients, so the number of samples is
//! bounded.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]
mod endpoint;
mod metric;
mod server;

pub use endpoint::{EndpointError, MetricsEndpoint};
pub use metric::{Metric, MetricKind, render};
pub use server::serve;
