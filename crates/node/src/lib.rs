//! A node put together: the proxy that serves clients, and what keeps it informed and its groups available.
//!
//! The modules share one [`Node`]:
//! - [`gossip`] and [`peer_service`]: membership among nodes, server heartbeats, questions between nodes;
//! - [`store_client`] and [`feed`]: writes to the replicated store, and the change feed with the node's lease;
//! - [`sessions`]: replicas of client sessions on other nodes;
//! - [`promotion`]: the singleton duty that watches a group's primary and promotes another;
//! - [`enrollment_cleanup`]: the singleton duty that dismisses nodes that are gone;
//! - `settlement`: tenants' operations, counted over all nodes;
//! - [`client_api`] and [`operator`]: what the two HTTP listeners answer;
//! - [`metrics`]: the node's state as metrics.
//!
//! All of it runs over the runtime seam, so the simulator runs the same code in virtual time.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod client_api;
pub mod enrollment_cleanup;
pub mod feed;
pub mod gossip;
pub mod metrics;
mod node;
pub mod operator;
pub mod peer_service;
pub mod promotion;
pub mod sessions;
mod settlement;
pub mod store_client;
mod tasks;

pub use node::Node;
pub use sessions::open_transactions;
