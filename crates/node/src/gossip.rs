//! Gossip among nodes: who is alive, server heartbeats, and questions from node to node.
mod driver;
mod queries;
mod service;

pub use driver::GossipDriver;
pub use service::{
    handle_request, handle_request_probing_first, record_heartbeat, respond_to_frame,
    respond_without_probing, run_membership, serve,
};
