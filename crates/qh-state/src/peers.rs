//! Links from one keeper to the others.
use crate::messages::{KeeperRequest, KeeperResponse, PeerMessage};
use qh_core::Name;
use qh_core::wire::Caller;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that may wait for one peer; further ones are dropped, the protocol sends again.
const WAITING_MAX: usize = 256;
/// Time in which a peer takes a message.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);

pub(crate) struct Peers {
    me: Name,
    links: HashMap<Name, mpsc::Sender<PeerMessage>>,
}

impl Peers {
    pub fn new(me: Name) -> Self {
        Self { me, links: HashMap::new() }
    }

    pub fn send(&mut self, addr: Name, message: PeerMessage) {
        let me = &self.me;
        let link = self.links.entry(addr.clone()).or_insert_with(|| open_link(me.clone(), addr));
        let _ = link.try_send(message);
    }
}

/// A task that sends one message after the other.
fn open_link(me: Name, addr: Name) -> mpsc::Sender<PeerMessage> {
    let (link, mut waiting) = mpsc::channel::<PeerMessage>(WAITING_MAX);
    tokio::spawn(async move {
        let caller = Caller::default();
        while let Some(m) = waiting.recv().await {
            let request = KeeperRequest::Peer { from: me.clone(), m };
            let _ = caller.call::<_, KeeperResponse>(&addr, &request, TAKEN_WITHIN).await;
        }
    });
    link
}
