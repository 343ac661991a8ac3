//! Connections from one keeper to the others.
use crate::messages::{KeeperRequest, PeerMessage};
use quincehatch_core::Name;
use quincehatch_wire::{Caller, Destination, Identity};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that may wait for one peer. Further ones are dropped: the protocol sends again.
const MAX_QUEUED_MESSAGES: usize = 256;
/// A message that a peer does not take within this time is dropped: the protocol sends again.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// A peer: after a wiped disk another keeper may run at the same address.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Peer {
    name: Name,
    addr: Name,
}

/// Sends messages to other keepers, to each in order.
pub(crate) struct Peers {
    identity: Identity,
    queues: HashMap<Peer, mpsc::Sender<PeerMessage>>,
}

impl Peers {
    /// No connections yet; each begins with the first message to its peer.
    pub fn new(identity: Identity) -> Self {
        Self { identity, queues: HashMap::new() }
    }

    /// Queues a message for the named keeper at that address.
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
            // Seeds are known by their addresses alone.
            PeerMessage::Discover { .. } => Destination::address(&peer.addr),
            // Everything else is for the keeper of that very name.
            _ => Destination::process(&peer.name, &peer.addr),
        };
        let request = KeeperRequest::Peer { from: from.clone(), message };
        let _ = caller.call(destination, &request, DELIVERY_TIMEOUT).await;
    }
}
