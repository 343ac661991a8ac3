//! The client of the replicated store: calls to the keepers, and the addresses of the head and the tail of their chain.
//!
//! A keeper is a replica of the store. A view is a version of the keepers' membership: the chain's members in order,
//! and the voters.
mod read;
mod view;
mod write;

use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_store::{KeeperRequest, KeeperResponse, Reply, Request, View};
use quincehatch_wire::{Caller, Destination, Identity};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two attempts of a read or a write, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;
/// Time after which a caller may retry a read or write that timed out, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Calls the keepers of the store on behalf of one process.
pub struct StoreClient {
    /// The addresses of the keepers in the settings.
    configured_keepers: Mutex<Vec<String>>,
    /// The newest view that any keeper has reported.
    view: Mutex<View>,
    /// The number of calls of `next_keeper`, which selects keepers in turn.
    rotation: Mutex<usize>,
    caller: Arc<Caller>,
}

impl StoreClient {
    /// Creates a client that calls these keepers as the process `caller_name`.
    pub fn new(caller_name: &str, keepers: &[String]) -> Self {
        Self {
            configured_keepers: Mutex::new(keepers.to_vec()),
            view: Mutex::default(),
            rotation: Mutex::new(0),
            caller: Caller::new(Identity::new(caller_name)),
        }
    }

    /// Replaces the keepers of the settings. An empty list is ignored.
    pub fn set_keepers(&self, keepers: &[String]) {
        if !keepers.is_empty() {
            *self.configured_keepers.lock().unwrap() = keepers.to_vec();
        }
    }

    /// Calls the keeper at an address. Fails if no answer arrives within the timeout `within`, or if the answering
    /// keeper is not the one that the view lists at this address.
    pub async fn call(&self, addr: &str, request: Request, within: Duration) -> Result<Reply, Error> {
        let name = self.name_at(addr);
        let destination = match &name {
            Some(name) if !matches!(request, Request::Status | Request::CurrentView) => {
                Destination::process(name, addr)
            }
            // These requests ask which keeper is at the address and which view it knows, so any keeper may answer.
            _ => Destination::address(addr),
        };
        match self.caller.call(destination, &KeeperRequest::Node { request }, within).await? {
            KeeperResponse::Reply { reply } => Ok(reply),
            KeeperResponse::Delivered => Err(unexpected_reply()),
        }
    }

    /// Returns the name of the keeper that the view lists at an address.
    fn name_at(&self, addr: &str) -> Option<Name> {
        let view = self.view.lock().unwrap();
        view.voters.iter().find(|voter| voter.addr == addr).map(|voter| voter.name.clone())
    }
}

fn unexpected_reply() -> Error {
    ErrorCode::ChainUnavailable.with_detail("unexpected reply of a keeper")
}
