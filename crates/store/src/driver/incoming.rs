//! The queue of messages that arrived over the network.
use crate::keeper::Input;
use crate::messages::{KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_core::ErrorCode;
use quincehatch_wire::{Identity, serve};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Maximum number of open connections to this keeper.
const MAX_CONNECTIONS: usize = 1_024;
/// Maximum number of messages in each queue.
const MAX_QUEUED: usize = 1_024;

/// A message that was received.
pub(super) enum Incoming {
    /// A message from another keeper, which expects no reply.
    Peer(Input),
    /// A request from a client, and the channel for its reply.
    Request(Request, oneshot::Sender<Reply>),
}

/// Messages in order of arrival, except that polls of nodes come after all others. Peers consider a keeper lost if it
/// does not answer within a second, so the polls of hundreds of nodes must not delay its answers to them.
pub(super) struct IncomingQueue {
    priority: mpsc::Receiver<Incoming>,
    polls: mpsc::Receiver<Incoming>,
}

/// The sending side of an [`IncomingQueue`].
#[derive(Clone)]
struct Senders {
    priority: mpsc::Sender<Incoming>,
    polls: mpsc::Sender<Incoming>,
}

impl IncomingQueue {
    fn open() -> (Senders, IncomingQueue) {
        let (priority, priority_receiver) = mpsc::channel(MAX_QUEUED);
        let (polls, polls_receiver) = mpsc::channel(MAX_QUEUED);
        let queue = IncomingQueue { priority: priority_receiver, polls: polls_receiver };
        (Senders { priority, polls }, queue)
    }

    /// Waits for the next message; returns `None` once all senders are closed.
    pub async fn recv(&mut self) -> Option<Incoming> {
        tokio::select! {
            biased;
            Some(message) = self.priority.recv() => Some(message),
            Some(message) = self.polls.recv() => Some(message),
            else => None,
        }
    }

    /// Returns the next message if one is queued.
    pub fn try_recv(&mut self) -> Option<Incoming> {
        self.priority.try_recv().or_else(|_| self.polls.try_recv()).ok()
    }
}

/// Accepts connections in a separate task, and queues their messages.
pub(super) fn serve_connections(
    listener: TcpListener,
    identity: Identity,
) -> (JoinHandle<()>, IncomingQueue) {
    let (senders, queue) = IncomingQueue::open();
    let handler = move |request: KeeperRequest| handle_request(request, senders.clone());
    (tokio::spawn(serve(listener, MAX_CONNECTIONS, identity, handler)), queue)
}

/// Queues a request and returns the response once the keeper has replied.
async fn handle_request(request: KeeperRequest, senders: Senders) -> KeeperResponse {
    match request {
        KeeperRequest::Peer { from, message } => {
            let _ = senders.priority.send(Incoming::Peer(Input::Peer { from, message })).await;
            KeeperResponse::Delivered
        }
        KeeperRequest::Node { request } => {
            let queue =
                if matches!(request, Request::Feed { .. }) { &senders.polls } else { &senders.priority };
            let (reply_to, reply) = oneshot::channel();
            let _ = queue.send(Incoming::Request(request, reply_to)).await;
            KeeperResponse::Reply { reply: reply.await.unwrap_or_else(|_| stopping_reply()) }
        }
    }
}

fn stopping_reply() -> Reply {
    Reply::Rejected { error: ErrorCode::ChainUnavailable.with_detail("the keeper is stopping") }
}

#[cfg(test)]
mod tests;
