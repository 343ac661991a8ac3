//! Behavior of the store's client when a keeper receives a request and closes the connection without an answer.
use quincehatch_core::{Error, ErrorCode, Name, Outcome};
use quincehatch_node::store_client::StoreClient;
use quincehatch_store::{KeeperRequest, KeeperResponse, KeeperStatus, Reply, Request, View, Voter};
use quincehatch_wire::{
    Identity, IncomingFrame, RequestHeader, encode_answer_frame, read_frame, write_frame,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Timeout of calls; no test reaches it.
const TIMEOUT: Duration = Duration::from_secs(600);

/// The kinds of requests that a keeper received, in order.
type ReceivedRequests = Arc<Mutex<Vec<&'static str>>>;

fn view_with_keeper_at(addr: &str) -> View {
    let name = Name::from("k1");
    View { version: 1, members: vec![name.clone()], voters: vec![Voter { name, addr: addr.into() }] }
}

/// Starts a keeper that answers status requests, and closes the connection after reading any other request.
async fn start_keeper(name: &'static str) -> (String, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let received = ReceivedRequests::default();
    let (keeper_addr, keeper_received) = (addr.clone(), received.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_status_only(stream, name, keeper_addr.clone(), keeper_received.clone()));
        }
    });
    (addr, received)
}

async fn answer_status_only(mut stream: TcpStream, name: &str, addr: String, received: ReceivedRequests) {
    let identity = Identity::with_incarnation(name, 1);
    while let Ok(frame) = read_frame(&mut stream).await {
        let (header, message) = IncomingFrame::parse(&frame).unwrap().header::<RequestHeader>().unwrap();
        let kind = match parse_request(message) {
            Request::Status => "status",
            Request::ChangeVoters { .. } => "voters",
            Request::ReadStore => "read",
            _ => "other",
        };
        received.lock().unwrap().push(kind);
        if kind != "status" {
            return;
        }
        let status = KeeperStatus { view: view_with_keeper_at(&addr), ..Default::default() };
        let response = KeeperResponse::Reply { reply: Reply::Status { status } };
        let answer = encode_answer_frame::<KeeperRequest>(&identity, header.call, &response).unwrap();
        write_frame(&mut stream, &answer).await.unwrap();
    }
}

fn parse_request(message: &[u8]) -> Request {
    match borsh::from_slice(message).unwrap() {
        KeeperRequest::Node { request } => request,
        KeeperRequest::Peer { .. } => panic!("unexpected request of another keeper"),
    }
}

async fn call(client: &StoreClient, addr: &str, request: Request) -> Result<Reply, Error> {
    client.call(addr, request, TIMEOUT).await
}

#[tokio::test]
async fn a_voter_change_is_sent_once_and_has_an_unknown_outcome_when_its_connection_breaks() {
    let (addr, received) = start_keeper("k1").await;
    let client = StoreClient::new("n1", std::slice::from_ref(&addr));
    assert!(call(&client, &addr, Request::Status).await.is_ok());
    let change = Request::ChangeVoters { version: 1, voters: view_with_keeper_at(&addr).voters };
    let error = call(&client, &addr, change).await.unwrap_err();
    assert!(error.has_code(ErrorCode::OutcomeUnknown), "{error}");
    assert_eq!(error.outcome, Outcome::Unknown);
    assert_eq!(*received.lock().unwrap(), ["status", "voters"]);
}

#[tokio::test]
async fn a_read_is_retried_when_a_reused_connection_breaks() {
    let (addr, received) = start_keeper("k1").await;
    let client = StoreClient::new("n1", std::slice::from_ref(&addr));
    assert!(call(&client, &addr, Request::Status).await.is_ok());
    let error = call(&client, &addr, Request::ReadStore).await.unwrap_err();
    assert!(error.has_code(ErrorCode::Unreachable), "{error}");
    assert_eq!(*received.lock().unwrap(), ["status", "read", "read"]);
}

/// A keeper's answer carries its name, which the client compares with the view.
#[tokio::test]
async fn an_answer_is_rejected_when_it_comes_from_another_keeper() {
    let (addr, _) = start_keeper("k2").await;
    let client = StoreClient::new("n1", std::slice::from_ref(&addr));
    client.adopt_view_if_newer(view_with_keeper_at(&addr));
    // A status request accepts the answer of any keeper.
    assert!(call(&client, &addr, Request::Status).await.is_ok());
    assert!(call(&client, &addr, Request::ReadStore).await.is_err());
}
