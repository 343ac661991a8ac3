//! Messages that arrive over the network, on their way to the keeper.
use crate::keeper::Input;
use crate::messages::{KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_core::ErrorCode;
use quincehatch_wire::{Identity, serve};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Connections that others may have open to this keeper.
const MAX_CONNECTIONS: usize = 512;
/// Messages that may wait for the keeper.
const MAX_QUEUED: usize = 1_024;

/// A message that arrived.
pub(super) enum Incoming {
    /// From another keeper; nobody waits for a reply.
    Peer(Input),
    /// From a client that waits for the reply.
    Request(Request, oneshot::Sender<Reply>),
}

/// Messages in the order in which they arrived.
pub(super) type IncomingQueue = mpsc::Receiver<Incoming>;

/// Accepts connections in a task of its own, and queues their messages.
pub(super) fn serve_connections(
    listener: TcpListener,
    identity: Identity,
) -> (JoinHandle<()>, IncomingQueue) {
    let (sender, queue) = mpsc::channel(MAX_QUEUED);
    let handler = move |request: KeeperRequest| answer(request, sender.clone());
    (tokio::spawn(serve(listener, MAX_CONNECTIONS, identity, handler)), queue)
}

async fn answer(request: KeeperRequest, queue: mpsc::Sender<Incoming>) -> KeeperResponse {
    match request {
        KeeperRequest::Peer { from, message } => {
            let _ = queue.send(Incoming::Peer(Input::Peer { from, message })).await;
            KeeperResponse::Delivered
        }
        KeeperRequest::Node { request } => {
            let (reply_to, reply) = oneshot::channel();
            let _ = queue.send(Incoming::Request(request, reply_to)).await;
            KeeperResponse::Reply { reply: reply.await.unwrap_or_else(|_| stopping()) }
        }
    }
}

fn stopping() -> Reply {
    Reply::Rejected { error: ErrorCode::ChainUnavailable.with_detail("the keeper is stopping") }
}
