//! Stand-in servers over loopback sockets; what they do with each frame is a list, and no step waits for a clock.
use crate::TestRequest;
use quincehatch_wire::{
    AnswerHeader, CallError, Caller, Destination, FrameKind, Identity, Incoming, RequestHeader, encode,
    read_frame, respond, serve, write_frame,
};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// No test waits for it.
const TIMEOUT: Duration = Duration::from_secs(600);

/// What the stand-in does with a frame.
enum Action {
    Answer,
    /// Closes the connection without an answer.
    Break,
    /// Answers under the number of the call before.
    AnswerPrevious,
    /// Answers once it is released.
    AnswerAfter(oneshot::Receiver<()>),
    /// Answers as another incarnation.
    AnswerAs(Identity),
}

struct StandIn {
    addr: String,
    arrived: Arc<Mutex<Vec<TestRequest>>>,
    /// Each arrival, as it happens.
    arrivals: mpsc::UnboundedReceiver<TestRequest>,
}

fn answer_frame(identity: &Identity, call: u16, number: u32) -> Vec<u8> {
    encode(FrameKind::Answer, &AnswerHeader { call, responder: identity.id() }, &number).unwrap()
}

async fn stand_in(actions: Vec<Action>) -> StandIn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (actions, seen) = (Arc::new(Mutex::new(VecDeque::from(actions))), arrived.clone());
    let (arrival_sender, arrivals) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(play(stream, actions.clone(), seen.clone(), arrival_sender.clone()));
        }
    });
    StandIn { addr, arrived, arrivals }
}

async fn play(
    mut stream: TcpStream,
    actions: Arc<Mutex<VecDeque<Action>>>,
    arrived: Arc<Mutex<Vec<TestRequest>>>,
    arrival_sender: mpsc::UnboundedSender<TestRequest>,
) {
    let identity = Identity::with_incarnation("a", 1);
    while let Ok(frame) = read_frame(&mut stream).await {
        let (header, message) = Incoming::parse(&frame).unwrap().header::<RequestHeader>().unwrap();
        let request: TestRequest = borsh::from_slice(message).unwrap();
        arrived.lock().unwrap().push(request);
        let action = actions.lock().unwrap().pop_front().unwrap_or(Action::Answer);
        let _ = arrival_sender.send(request);
        let (responder, call) = match action {
            Action::Answer => (identity.clone(), header.call),
            Action::Break => return,
            Action::AnswerPrevious => (identity.clone(), header.call.wrapping_sub(1)),
            Action::AnswerAfter(released) => {
                let _ = released.await;
                (identity.clone(), header.call)
            }
            Action::AnswerAs(other) => (other, header.call),
        };
        if write_frame(&mut stream, &answer_frame(&responder, call, request.number())).await.is_err() {
            return;
        }
    }
}

fn caller() -> Arc<Caller> {
    Caller::new(Identity::with_incarnation("caller", 1))
}

impl StandIn {
    async fn send(&self, caller: &Caller, request: TestRequest) -> Result<u32, CallError> {
        caller.call(Destination::process("a", &self.addr), &request, TIMEOUT).await
    }
    fn arrived(&self) -> Vec<TestRequest> {
        self.arrived.lock().unwrap().clone()
    }
}

#[tokio::test]
async fn a_call_that_may_not_be_repeated_arrives_once_when_its_connection_breaks() {
    let server = stand_in(vec![Action::Answer, Action::Break, Action::Answer]).await;
    let caller = caller();
    assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
    let result = server.send(&caller, TestRequest::Once(2)).await;
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    assert_eq!(server.arrived(), [TestRequest::Read(1), TestRequest::Once(2)]);
}

#[tokio::test]
async fn a_call_that_may_be_repeated_is_sent_again_when_a_kept_connection_breaks() {
    for request in [TestRequest::Read(2), TestRequest::Write(2)] {
        let server = stand_in(vec![Action::Answer, Action::Break, Action::Answer]).await;
        let caller = caller();
        assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
        assert_eq!(server.send(&caller, request).await, Ok(2));
        assert_eq!(server.arrived(), [TestRequest::Read(1), request, request]);
    }
}

#[tokio::test]
async fn an_answer_reaches_no_other_call_when_it_comes_late() {
    let (release, released) = oneshot::channel();
    let mut server = stand_in(vec![Action::AnswerAfter(released), Action::Answer]).await;
    let caller = caller();
    let addr = server.addr.clone();
    tokio::select! {
        result = caller.call(Destination::process("a", &addr), &TestRequest::Read(1), TIMEOUT) => panic!("{result:?}"),
        request = server.arrivals.recv() => assert_eq!(request, Some(TestRequest::Read(1))),
    }
    release.send(()).unwrap();
    assert_eq!(server.send(&caller, TestRequest::Read(2)).await, Ok(2));
}

#[tokio::test]
async fn an_answer_is_not_accepted_when_its_number_is_another_calls() {
    let server = stand_in(vec![Action::AnswerPrevious]).await;
    let result = server.send(&caller(), TestRequest::Once(1)).await;
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    // On a kept connection a read goes out again, on a new one.
    let server = stand_in(vec![Action::Answer, Action::AnswerPrevious, Action::Answer]).await;
    let caller = caller();
    assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
    assert_eq!(server.send(&caller, TestRequest::Read(2)).await, Ok(2));
    assert_eq!(server.arrived().len(), 3);
}

#[tokio::test]
async fn an_answer_is_not_accepted_when_another_process_gives_it() {
    let server = stand_in(vec![Action::AnswerAs(Identity::with_incarnation("b", 1))]).await;
    let result = server.send(&caller(), TestRequest::Once(1)).await;
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    // Nor one of another incarnation on a connection that has its first one at its end.
    let restarted = Identity::with_incarnation("a", 2);
    let server = stand_in(vec![Action::Answer, Action::AnswerAs(restarted), Action::Answer]).await;
    let caller = caller();
    assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
    assert_eq!(server.send(&caller, TestRequest::Read(2)).await, Ok(2));
    assert_eq!(server.arrived().len(), 3);
}

/// A process that serves at an address until it is dropped, with all its connections.
struct Process {
    runtime: Option<tokio::runtime::Runtime>,
    ran: Arc<Mutex<Vec<TestRequest>>>,
}

impl Process {
    fn start(listener: std::net::TcpListener, identity: Identity) -> Process {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let ran = Arc::new(Mutex::new(Vec::new()));
        let seen = ran.clone();
        listener.set_nonblocking(true).unwrap();
        runtime.spawn(async move {
            let answer = move |request: TestRequest| {
                seen.lock().unwrap().push(request);
                std::future::ready(request.number())
            };
            serve(TcpListener::from_std(listener).unwrap(), 8, identity, answer).await;
        });
        Process { runtime: Some(runtime), ran }
    }
    fn stop(mut self) {
        let runtime = self.runtime.take().unwrap();
        std::thread::spawn(move || runtime.shutdown_timeout(TIMEOUT)).join().unwrap();
    }
}

#[tokio::test]
async fn a_process_does_not_run_calls_for_another_when_it_starts_at_its_address() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    // The address stays bound, as if the next process had started at once.
    let (second, third) = (listener.try_clone().unwrap(), listener.try_clone().unwrap());
    let caller = caller();
    let to = Destination::process("a", &addr);
    let first = Process::start(listener, Identity::with_incarnation("a", 1));
    assert_eq!(caller.call(to, &TestRequest::Write(1), TIMEOUT).await, Ok(1));
    first.stop();

    let other = Process::start(second, Identity::with_incarnation("b", 1));
    for request in [TestRequest::Read(2), TestRequest::Write(3), TestRequest::Once(4)] {
        let result = caller.call(to, &request, TIMEOUT).await;
        let by = Identity::with_incarnation("b", 1).id();
        assert_eq!(result, Err(CallError::WrongReceiver { by }));
    }
    assert_eq!(caller.call(Destination::address(&addr), &TestRequest::Read(5), TIMEOUT).await, Ok(5));
    assert_eq!(*other.ran.lock().unwrap(), [TestRequest::Read(5)]);
    other.stop();

    let again = Process::start(third, Identity::with_incarnation("a", 2));
    assert_eq!(caller.call(to, &TestRequest::Write(6), TIMEOUT).await, Ok(6));
    again.stop();
}

#[tokio::test]
async fn a_frame_is_not_run_when_it_is_of_another_version_or_for_another_process() {
    let identity = Identity::with_incarnation("a", 1);
    let ran = |_: TestRequest| async { panic!("it was run") };
    for receiver in ["b", "A", ""] {
        let receiver = Identity::with_incarnation(receiver, 7).id().name;
        let header = RequestHeader { call: 9, sender: 1, receiver };
        let frame = encode(FrameKind::Request, &header, &TestRequest::Once(1)).unwrap();
        let reply = respond(&identity, &frame, ran).await.unwrap();
        let incoming = Incoming::parse(&reply).unwrap();
        assert_eq!(incoming.kind, FrameKind::Rejected);
        assert_eq!(
            incoming.header::<AnswerHeader>().unwrap().0,
            AnswerHeader { call: 9, responder: identity.id() }
        );
    }
    let earlier = Identity::with_incarnation("a", 2).id().tag();
    let header = RequestHeader { call: 9, sender: 1, receiver: earlier };
    let frame = encode(FrameKind::Request, &header, &TestRequest::Once(1)).unwrap();
    assert_eq!(
        Incoming::parse(&respond(&identity, &frame, ran).await.unwrap()).unwrap().kind,
        FrameKind::Rejected
    );
    let mut frame =
        encode(FrameKind::Request, &RequestHeader { receiver: 0, ..header }, &TestRequest::Once(1)).unwrap();
    frame[0] ^= 0x10;
    assert!(respond(&identity, &frame, ran).await.is_err());
}
