//! The order in which messages reach the keeper.
use super::{Incoming, IncomingQueue, answer};
use crate::keeper::Input;
use crate::messages::{KeeperRequest, PeerMessage, Request};
use crate::view::View;

fn poll() -> KeeperRequest {
    let request =
        Request::Feed { node: "n".into(), addr: "n".into(), last_change: 0, applied: 0, enrolled: 1 };
    KeeperRequest::Node { request }
}

#[tokio::test]
async fn a_message_of_another_keeper_overtakes_the_polls_of_nodes() {
    let (senders, mut queue) = IncomingQueue::open();
    for _ in 0..10 {
        tokio::spawn(answer(poll(), senders.clone()));
    }
    tokio::task::yield_now().await;
    let message = PeerMessage::CurrentView { view: View::default() };
    answer(KeeperRequest::Peer { from: "k".into(), message }, senders.clone()).await;
    let first = queue.recv().await;
    assert!(matches!(first, Some(Incoming::Peer(Input::Peer { .. }))));
    let polls = std::iter::from_fn(|| queue.try_recv()).count();
    assert_eq!(polls, 10);
}
