//! HTTP/1.1 calls with JSON bodies over single connections, so that each connection to a server has its own identity.
mod connection;
mod error;
mod keepalive;
mod one_shot;

pub use connection::{HttpConnection, JsonRequest, LocalCloseMarker, MAX_REPLY_BYTES};
pub use keepalive::{KeepaliveExt, KeepaliveSettings};
pub use one_shot::{call_for_status, call_once, post_once};
pub use quincehatch_runtime::seam::OnDisconnect;
