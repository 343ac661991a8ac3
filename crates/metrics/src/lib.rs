//! Metrics of a process, as text in the OpenMetrics format.
//!
//! A process keeps no registry: what it reports is read off its state when it is asked, so that metrics cost nothing
//! between two questions. Labels name kinds and states, never servers, groups or clients, so the number of samples is
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
