//! What reaches a machine's keeper over the network: messages of its peers, and clients' requests.
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
        let (call, waiting) = match received {
            Ok(ReceivedRequest::Request { call, request }) => (call, submit(&process, request)),
            Ok(ReceivedRequest::Rejected(frame)) => {
                return Box::pin(async { Some(frame) }) as BoxFuture<'static, _>;
            }
            Err(_) => return Box::pin(async { None }) as BoxFuture<'static, _>,
        };
        let identity = identity.clone();
        Box::pin(async move {
            let answer = match waiting {
                None => KeeperResponse::Delivered,
                Some(reply) => KeeperResponse::Reply { reply: reply.await.ok()? },
            };
            quincehatch_wire::encode_answer_frame::<KeeperRequest>(&identity, call, &answer).ok()
        }) as BoxFuture<'static, Option<Vec<u8>>>
    };
    cluster.core.listen_frames(address, pid, Arc::new(on_frame));
}

/// Hands a request to the keeper; a client's has a reply to wait for.
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

fn submit_request(process: &Process, ask: Request) -> oneshot::Receiver<Reply> {
    let (answer, waiting) = oneshot::channel();
    let kind = CallKind::from_request(&ask);
    let token = {
        let mut process = process.lock().unwrap();
        if process.stalled {
            drop(answer.send(process.host.unavailable_reply(&ask)));
            return waiting;
        }
        process.next_token += 1;
        let token = process.next_token;
        process.calls.insert(token, PendingCall { kind, reply_to: answer });
        token
    };
    enqueue(process, Input::Request { token, request: ask });
    waiting
}
