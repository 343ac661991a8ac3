//! Messages that arrive over the network, on their way to the keeper.
use crate::keeper::Input;
use crate::messages::{KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_core::ErrorCode;
use quincehatch_wire::{Identity, serve};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Connections that others may have open to this keeper.
const MAX_CONNECTIONS: usize = 1_024;
/// Messages of each queue that may wait for the keeper.
const MAX_QUEUED: usize = 1_024;

/// A message that arrived.
pub(super) enum Incoming {
    /// From another keeper; nobody waits for a reply.
    Peer(Input),
    /// From a client that waits for the reply.
    Request(Request, oneshot::Sender<Reply>),
}

/// Messages in the order in which they arrived, nodes' polls behind all others: the polls of hundreds of nodes must not
/// keep a keeper from answering its peers, which count it as lost after a second.
pub(super) struct IncomingQueue {
    others: mpsc::Receiver<Incoming>,
    polls: mpsc::Receiver<Incoming>,
}

/// Where messages are queued.
#[derive(Clone)]
struct Senders {
    others: mpsc::Sender<Incoming>,
    polls: mpsc::Sender<Incoming>,
}

impl IncomingQueue {
    fn open() -> (Senders, IncomingQueue) {
        let (others, others_receiver) = mpsc::channel(MAX_QUEUED);
        let (polls, polls_receiver) = mpsc::channel(MAX_QUEUED);
        let queue = IncomingQueue { others: others_receiver, polls: polls_receiver };
        (Senders { others, polls }, queue)
    }

    /// The next message; `None` once none can come any more.
    pub async fn recv(&mut self) -> Option<Incoming> {
        tokio::select! {
            biased;
            Some(message) = self.others.recv() => Some(message),
            Some(message) = self.polls.recv() => Some(message),
            else => None,
        }
    }

    /// The next message that has arrived.
    pub fn try_recv(&mut self) -> Option<Incoming> {
        self.others.try_recv().or_else(|_| self.polls.try_recv()).ok()
    }
}

/// Accepts connections in a task of its own, and queues their messages.
pub(super) fn serve_connections(
    listener: TcpListener,
    identity: Identity,
) -> (JoinHandle<()>, IncomingQueue) {
    let (senders, queue) = IncomingQueue::open();
    let handler = move |request: KeeperRequest| answer(request, senders.clone());
    (tokio::spawn(serve(listener, MAX_CONNECTIONS, identity, handler)), queue)
}

async fn answer(request: KeeperRequest, senders: Senders) -> KeeperResponse {
    match request {
        KeeperRequest::Peer { from, message } => {
            let _ = senders.others.send(Incoming::Peer(Input::Peer { from, message })).await;
            KeeperResponse::Delivered
        }
        KeeperRequest::Node { request } => {
            let queue =
                if matches!(request, Request::Feed { .. }) { &senders.polls } else { &senders.others };
            let (reply_to, reply) = oneshot::channel();
            let _ = queue.send(Incoming::Request(request, reply_to)).await;
            KeeperResponse::Reply { reply: reply.await.unwrap_or_else(|_| stopping()) }
        }
    }
}

fn stopping() -> Reply {
    Reply::Rejected { error: ErrorCode::ChainUnavailable.with_detail("the keeper is stopping") }
}

#[cfg(test)]
mod tests;
