//! The node process: the proxy that serves clients, cluster membership, the store's change feed, and failover of
//! primaries.
//!
//! The modules share one [`Node`]:
//! - [`gossip`] and [`peer_service`]: membership of nodes, server heartbeats, queries between nodes;
//! - [`store_client`] and [`feed`]: calls to the keepers (the replicas of the store), and the store's change feed with
//!   the node's lease;
//! - [`sessions`]: replicas of client sessions on other nodes;
//! - [`promotion`]: the singleton duty that monitors a group's primary and promotes another server when it fails;
//! - [`enrollment_cleanup`]: the singleton duty that dismisses nodes that left the cluster without notice;
//! - `settlement`: quota accounting of tenants' operations over all nodes;
//! - [`client_api`] and [`operator`]: the request handlers of the two HTTP listeners;
//! - [`metrics`]: the node's metrics.
//!
//! A singleton duty is a task that one node runs for the whole cluster; its owner is chosen among the live nodes.
//!
//! All modules use the runtime abstraction `quincehatch_runtime::seam`, so the simulator runs the same code in virtual
//! time.
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
