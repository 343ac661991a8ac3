//! Tests of the order in which queued messages are received.
use super::{Incoming, IncomingQueue, handle_request};
use crate::keeper::Input;
use crate::messages::{KeeperRequest, PeerMessage, Request};
use crate::view::View;

fn poll() -> KeeperRequest {
    let request =
        Request::Feed { node: "n".into(), addr: "n".into(), last_change: 0, applied: 0, enrolled: 1 };
    KeeperRequest::Node { request }
}

#[tokio::test]
async fn messages_from_keepers_are_received_before_polls_that_were_queued_earlier() {
    let (senders, mut queue) = IncomingQueue::open();
    for _ in 0..10 {
        tokio::spawn(handle_request(poll(), senders.clone()));
    }
    tokio::task::yield_now().await;
    let message = PeerMessage::CurrentView { view: View::default() };
    handle_request(KeeperRequest::Peer { from: "k".into(), message }, senders.clone()).await;
    let first = queue.recv().await;
    assert!(matches!(first, Some(Incoming::Peer(Input::Peer { .. }))));
    let polls = std::iter::from_fn(|| queue.try_recv()).count();
    assert_eq!(polls, 10);
}
