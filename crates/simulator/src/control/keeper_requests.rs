//! Hands frames that arrive at a machine's address to its keeper: messages of its peers and requests of clients.
use super::call_kind::CallKind;
use super::cluster::Cluster;
use super::machine::{PendingCall, Process, enqueue};
use crate::fleet::simulation::ProcessId;
use quincehatch_core::Name;
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_store::keeper::Input;
use quincehatch_store::{KeeperRequest, KeeperResponse, Reply, Request};
use quincehatch_wire::{Identity, ReceivedRequest};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Answers frames at the machine's address.
pub fn listen(cluster: &Arc<Cluster>, process: &Process, address: &Name, pid: ProcessId, identity: Identity) {
    let process = process.clone();
    let on_frame = move |bytes: Vec<u8>| {
        let received = quincehatch_wire::decode_request::<KeeperRequest>(&identity, &bytes);
        let (call, pending_reply) = match received {
            Ok(ReceivedRequest::Request { call, request }) => (call, submit(&process, request)),
            Ok(ReceivedRequest::Rejected(frame)) => {
                return Box::pin(async { Some(frame) }) as BoxFuture<'static, _>;
            }
            Err(_) => return Box::pin(async { None }) as BoxFuture<'static, _>,
        };
        let identity = identity.clone();
        Box::pin(async move {
            let response = match pending_reply {
                None => KeeperResponse::Delivered,
                Some(reply) => KeeperResponse::Reply { reply: reply.await.ok()? },
            };
            quincehatch_wire::encode_answer_frame::<KeeperRequest>(&identity, call, &response).ok()
        }) as BoxFuture<'static, Option<Vec<u8>>>
    };
    cluster.simulation.listen_frames(address, pid, Arc::new(on_frame));
}

/// Enqueues a frame's content for the keeper; returns the pending reply to a client's request. A stalled keeper drops
/// messages of peers.
fn submit(process: &Process, request: KeeperRequest) -> Option<oneshot::Receiver<Reply>> {
    match request {
        KeeperRequest::Peer { from, message } => {
            if !process.lock().unwrap().stalled {
                enqueue(process, Input::Peer { from, message });
            }
            None
        }
        KeeperRequest::Node { request } => Some(submit_request(process, request)),
    }
}

/// Enqueues a client's request; a stalled keeper rejects it at once.
fn submit_request(process: &Process, client_request: Request) -> oneshot::Receiver<Reply> {
    let (reply_sender, pending_reply) = oneshot::channel();
    let kind = CallKind::from_request(&client_request);
    let token = {
        let mut process = process.lock().unwrap();
        if process.stalled {
            drop(reply_sender.send(process.host.unavailable_reply(&client_request)));
            return pending_reply;
        }
        process.next_token += 1;
        let token = process.next_token;
        process.pending_calls.insert(token, PendingCall { kind, reply_to: reply_sender });
        token
    };
    enqueue(process, Input::Request { token, request: client_request });
    pending_reply
}
