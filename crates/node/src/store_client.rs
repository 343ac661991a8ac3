//! The node's client of the replicated store: calls to keepers, and where the head and the tail of their chain are.
mod read;
mod view;
mod write;

use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_store::{KeeperRequest, KeeperResponse, Reply, Request, View};
use quincehatch_wire::{Caller, Destination, Identity};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Between two attempts of a read or a write, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;
/// When a client may retry what could not be done in time, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Calls the keepers of the store in the name of one process.
pub struct StoreClient {
    /// Addresses of the keepers that the settings name.
    configured_keepers: Mutex<Vec<String>>,
    /// The newest view that any keeper told.
    view: Mutex<View>,
    /// Counts the calls of `next_keeper`.
    rotation: Mutex<usize>,
    caller: Arc<Caller>,
}

impl StoreClient {
    /// A client that calls these keepers in the name of `caller_name`.
    pub fn new(caller_name: &str, keepers: &[String]) -> Self {
        Self {
            configured_keepers: Mutex::new(keepers.to_vec()),
            view: Mutex::default(),
            rotation: Mutex::new(0),
            caller: Caller::new(Identity::new(caller_name)),
        }
    }

    /// Takes the keepers that the settings name now. None named: the earlier ones stay.
    pub fn set_keepers(&self, keepers: &[String]) {
        if !keepers.is_empty() {
            *self.configured_keepers.lock().unwrap() = keepers.to_vec();
        }
    }

    /// Calls the keeper at an address. Fails if it does not answer in time, or another keeper is there than the view
    /// says.
    pub async fn call(&self, addr: &str, request: Request, within: Duration) -> Result<Reply, Error> {
        let name = self.name_at(addr);
        let destination = match &name {
            Some(name) if !matches!(request, Request::Status | Request::CurrentView) => {
                Destination::process(name, addr)
            }
            // Who is there, and which view it knows, is what is asked.
            _ => Destination::address(addr),
        };
        match self.caller.call(destination, &KeeperRequest::Node { request }, within).await? {
            KeeperResponse::Reply { reply } => Ok(reply),
            KeeperResponse::Delivered => Err(unexpected_reply()),
        }
    }

    /// The name of the keeper at an address, by the view.
    fn name_at(&self, addr: &str) -> Option<Name> {
        let view = self.view.lock().unwrap();
        view.voters.iter().find(|voter| voter.addr == addr).map(|voter| voter.name.clone())
    }
}

fn unexpected_reply() -> Error {
    ErrorCode::ChainUnavailable.with_detail("not an answer to the request")
}
