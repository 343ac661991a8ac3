//! Connections from one keeper to the others.
use crate::messages::{KeeperRequest, PeerMessage};
use quincehatch_core::Name;
use quincehatch_wire::{Caller, Destination, Identity};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that may wait for one peer; further ones are dropped, the protocol sends again.
const WAITING_MAX: usize = 256;
/// A peer that does not take a message in this time is given up; the protocol sends again.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);

/// Sends to other keepers, to each in order. A peer is known by its name and its address.
pub(crate) struct Peers {
    me: Identity,
    connections: HashMap<(Name, Name), mpsc::Sender<PeerMessage>>,
}

impl Peers {
    pub fn new(me: Identity) -> Self {
        Self { me, connections: HashMap::new() }
    }

    pub fn send(&mut self, name: Name, addr: Name, message: PeerMessage) {
        let me = &self.me;
        let connection = self.connections.entry((name.clone(), addr.clone())).or_insert_with(|| {
            let (connection, waiting) = mpsc::channel(WAITING_MAX);
            tokio::spawn(deliver(me.clone(), name, addr, waiting));
            connection
        });
        let _ = connection.try_send(message);
    }
}

/// Brings messages to one peer, one after the other.
async fn deliver(me: Identity, name: Name, addr: Name, mut waiting: mpsc::Receiver<PeerMessage>) {
    let from = me.name().clone();
    let caller = Caller::new(me);
    while let Some(m) = waiting.recv().await {
        // Seeds are known by their address alone; everything else is for the keeper of that very name.
        let to = match m {
            PeerMessage::Discover { .. } => Destination::address(&addr),
            _ => Destination::process(&name, &addr),
        };
        let request = KeeperRequest::Peer { from: from.clone(), message: m };
        let _ = caller.call(to, &request, TAKEN_WITHIN).await;
    }
}
