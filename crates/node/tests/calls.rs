//! What a node does when a keeper takes a call and says nothing (§2.6).
use quincehatch_core::{Error, ErrorCode, Name, Outcome};
use quincehatch_node::store_client::StoreClient;
use quincehatch_store::{KeeperRequest, KeeperResponse, KeeperStatus, Reply, Request, View, Voter};
use quincehatch_wire::{Identity, Incoming, RequestHeader, encode_answer_frame, read_frame, write_frame};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// No test waits for it.
const WITHIN: Duration = Duration::from_secs(600);

/// What reached a keeper.
type Arrived = Arc<Mutex<Vec<&'static str>>>;

fn view(addr: &str) -> View {
    let name = Name::from("k1");
    View { version: 1, members: vec![name.clone()], voters: vec![Voter { name, addr: addr.into() }] }
}

/// A keeper that tells its status and ends the connection over everything else, after it has read it.
async fn keeper(me: &'static str) -> (String, Arrived) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let (arrived, at) = (Arrived::default(), addr.clone());
    let seen = arrived.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(talk(stream, me, at.clone(), seen.clone()));
        }
    });
    (addr, arrived)
}

async fn talk(mut stream: TcpStream, me: &str, addr: String, arrived: Arrived) {
    let me = Identity::with_incarnation(me, 1);
    while let Ok(frame) = read_frame(&mut stream).await {
        let (header, message) = Incoming::parse(&frame).unwrap().header::<RequestHeader>().unwrap();
        let what = match borsh_request(message) {
            Request::Status => "status",
            Request::ChangeVoters { .. } => "machines",
            Request::ReadStore => "read",
            _ => "other",
        };
        arrived.lock().unwrap().push(what);
        if what != "status" {
            return;
        }
        let status = KeeperStatus { view: view(&addr), ..Default::default() };
        let answer = KeeperResponse::Reply { reply: Reply::Status { status } };
        let back = encode_answer_frame::<KeeperRequest>(&me, header.call, &answer).unwrap();
        write_frame(&mut stream, &back).await.unwrap();
    }
}

fn borsh_request(message: &[u8]) -> Request {
    match borsh::from_slice(message).unwrap() {
        KeeperRequest::Node { request } => request,
        KeeperRequest::Peer { .. } => panic!("no keeper calls here"),
    }
}

async fn asked(chain: &StoreClient, addr: &str, ask: Request) -> Result<Reply, Error> {
    chain.call(addr, ask, WITHIN).await
}

#[tokio::test]
async fn a_change_of_machines_arrives_once_and_its_outcome_is_unknown() {
    let (addr, arrived) = keeper("k1").await;
    let chain = StoreClient::new("n1", std::slice::from_ref(&addr));
    assert!(asked(&chain, &addr, Request::Status).await.is_ok());
    let machines = Request::ChangeVoters { version: 1, voters: view(&addr).voters };
    let error = asked(&chain, &addr, machines).await.unwrap_err();
    assert!(error.has_code(ErrorCode::OutcomeUnknown), "{error}");
    assert_eq!(error.outcome, Outcome::Unknown);
    assert_eq!(*arrived.lock().unwrap(), ["status", "machines"]);
}

#[tokio::test]
async fn a_read_is_sent_again_when_a_kept_connection_breaks() {
    let (addr, arrived) = keeper("k1").await;
    let chain = StoreClient::new("n1", std::slice::from_ref(&addr));
    assert!(asked(&chain, &addr, Request::Status).await.is_ok());
    let error = asked(&chain, &addr, Request::ReadStore).await.unwrap_err();
    assert!(error.has_code(ErrorCode::Unreachable), "{error}");
    assert_eq!(*arrived.lock().unwrap(), ["status", "read", "read"]);
}

/// The answers of a stand-in carry its name: a node that means another keeper does not take them.
#[tokio::test]
async fn an_answer_of_another_keeper_is_not_taken() {
    let (addr, _) = keeper("k2").await;
    let chain = StoreClient::new("n1", std::slice::from_ref(&addr));
    chain.learn_view(view(&addr));
    // Status is asked of whoever is there.
    assert!(asked(&chain, &addr, Request::Status).await.is_ok());
    assert!(asked(&chain, &addr, Request::ReadStore).await.is_err());
}
