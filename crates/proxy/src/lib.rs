//! The proxy of a node: accepts clients' requests, sends them to database servers over pooled connections, monitors the
//! servers' health and retries reads at other servers.
//!
//! Layers, each of which imports only those before it:
//! 1. types and ports: [`server_protocol`], [`platform_api`], [`ports`], [`latest`], [`sync`], [`retry_budget`];
//! 2. [`tenants`], [`staleness`], [`health`] (except its probe), the states of [`session`]s, [`pool`];
//! 3. [`routing`]: the registry of servers, and which server a read goes to; then [`health::probe`];
//! 4. sessions with their open transactions, [`client_api`] and [`services`];
//! 5. the request paths: [`attempt`], [`read`], [`mod@write`], [`primary_read`], [`transaction`], [`session_filter`];
//! 6. [`pipeline`], and [`proxy`] on top. [`direct`] is the path of sessions that have connections of their own.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod latest;
pub mod platform_api;
pub mod ports;
pub mod retry_budget;
pub mod server_protocol;
pub mod sync;

pub mod health;
pub mod pool;
pub mod routing;
pub mod session;
pub mod staleness;
pub mod tenants;

pub mod client_api;
pub mod services;

pub mod attempt;
pub mod outcome_query;
pub mod primary_connection;
pub mod primary_read;
pub mod read;
pub mod rejections;
pub mod session_filter;
pub mod transaction;
pub mod write;

pub mod direct;
pub mod pipeline;
pub mod proxy;

pub use client_api::{listener, request};
pub use health::{evidence, overdue_replies, probe, readmission, state};
pub use pool::slots;
pub use proxy::Proxy;
pub use routing::{in_flight, registry};
