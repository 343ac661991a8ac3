//! Connections from one keeper to its peers.
use crate::messages::{KeeperRequest, PeerMessage};
use quincehatch_core::Name;
use quincehatch_wire::{Caller, Destination, Identity};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of messages that are queued for one peer. Further messages are dropped, as the protocol resends them.
const MAX_QUEUED_MESSAGES: usize = 256;
/// A message that a peer does not accept within this time is dropped, as the protocol resends it.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// A peer, identified by its name and its address: after the loss of a disk a keeper with another name may run at the
/// same address.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Peer {
    name: Name,
    addr: Name,
}

/// Sends messages to other keepers. The messages to one peer are sent in order.
pub(crate) struct Peers {
    identity: Identity,
    queues: HashMap<Peer, mpsc::Sender<PeerMessage>>,
}

impl Peers {
    /// Creates an empty set of connections; each is opened with the first message to its peer.
    pub fn new(identity: Identity) -> Self {
        Self { identity, queues: HashMap::new() }
    }

    /// Queues a message to the named keeper at the given address.
    pub fn send(&mut self, name: Name, addr: Name, message: PeerMessage) {
        let peer = Peer { name, addr };
        let identity = &self.identity;
        let queue = self.queues.entry(peer.clone()).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
            tokio::spawn(deliver(identity.clone(), peer, messages));
            queue
        });
        let _ = queue.try_send(message);
    }
}

/// Delivers messages to one peer, one after the other.
async fn deliver(identity: Identity, peer: Peer, mut messages: mpsc::Receiver<PeerMessage>) {
    let from = identity.name().clone();
    let caller = Caller::new(identity);
    while let Some(message) = messages.recv().await {
        let destination = match message {
            // Only the addresses of seeds are known, not their names.
            PeerMessage::Discover { .. } => Destination::address(&peer.addr),
            // All other messages are only for the keeper with this name.
            _ => Destination::process(&peer.name, &peer.addr),
        };
        let request = KeeperRequest::Peer { from: from.clone(), message };
        let _ = caller.call(destination, &request, DELIVERY_TIMEOUT).await;
    }
}
