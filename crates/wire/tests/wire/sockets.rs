//! Tests over loopback sockets against scripted servers: a list gives the action for each frame, and no step waits for
//! a clock.
use crate::TestRequest;
use quincehatch_wire::{
    AnswerHeader, CallError, Caller, Destination, FrameKind, Identity, IncomingFrame, RequestHeader, encode,
    read_frame, respond, serve, write_frame,
};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Longer than any test takes, so that no call times out.
const TIMEOUT: Duration = Duration::from_secs(600);

/// The action of a scripted server on a frame.
enum Action {
    Answer,
    /// Closes the connection without an answer.
    Disconnect,
    /// Answers under the number of the previous call.
    AnswerPrevious,
    /// Answers once it is released.
    AnswerAfter(oneshot::Receiver<()>),
    /// Answers in the name of another process or incarnation.
    AnswerAs(Identity),
}

/// A server that answers frames by a list of actions, and records the requests.
struct ScriptedServer {
    addr: String,
    arrived: Arc<Mutex<Vec<TestRequest>>>,
    /// Notifies the test of each request when it arrives.
    arrivals: mpsc::UnboundedReceiver<TestRequest>,
}

fn answer_frame(identity: &Identity, call: u16, number: u32) -> Vec<u8> {
    encode(FrameKind::Answer, &AnswerHeader { call, responder: identity.id() }, &number).unwrap()
}

async fn start_scripted_server(actions: Vec<Action>) -> ScriptedServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (actions, recorded) = (Arc::new(Mutex::new(VecDeque::from(actions))), arrived.clone());
    let (arrival_sender, arrivals) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_script(stream, actions.clone(), recorded.clone(), arrival_sender.clone()));
        }
    });
    ScriptedServer { addr, arrived, arrivals }
}

/// Serves one connection by the list of actions; after its end every request is answered.
async fn serve_script(
    mut stream: TcpStream,
    actions: Arc<Mutex<VecDeque<Action>>>,
    arrived: Arc<Mutex<Vec<TestRequest>>>,
    arrival_sender: mpsc::UnboundedSender<TestRequest>,
) {
    let identity = Identity::with_incarnation("a", 1);
    while let Ok(frame) = read_frame(&mut stream).await {
        let (header, message) = IncomingFrame::parse(&frame).unwrap().header::<RequestHeader>().unwrap();
        let request: TestRequest = borsh::from_slice(message).unwrap();
        arrived.lock().unwrap().push(request);
        let action = actions.lock().unwrap().pop_front().unwrap_or(Action::Answer);
        let _ = arrival_sender.send(request);
        let (responder, call) = match action {
            Action::Answer => (identity.clone(), header.call),
            Action::Disconnect => return,
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

impl ScriptedServer {
    async fn send(&self, caller: &Caller, request: TestRequest) -> Result<u32, CallError> {
        caller.call(Destination::process("a", &self.addr), &request, TIMEOUT).await
    }
    fn arrived(&self) -> Vec<TestRequest> {
        self.arrived.lock().unwrap().clone()
    }
}

#[tokio::test]
async fn a_call_that_may_not_be_repeated_arrives_once_when_its_connection_breaks() {
    let server = start_scripted_server(vec![Action::Answer, Action::Disconnect, Action::Answer]).await;
    let caller = caller();
    assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
    let result = server.send(&caller, TestRequest::Once(2)).await;
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    assert_eq!(server.arrived(), [TestRequest::Read(1), TestRequest::Once(2)]);
}

#[tokio::test]
async fn a_call_that_may_be_repeated_is_sent_again_when_a_reused_connection_breaks() {
    for request in [TestRequest::Read(2), TestRequest::Write(2)] {
        let server = start_scripted_server(vec![Action::Answer, Action::Disconnect, Action::Answer]).await;
        let caller = caller();
        assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
        assert_eq!(server.send(&caller, request).await, Ok(2));
        assert_eq!(server.arrived(), [TestRequest::Read(1), request, request]);
    }
}

#[tokio::test]
async fn an_answer_reaches_no_other_call_when_it_arrives_late() {
    let (release, released) = oneshot::channel();
    let mut server = start_scripted_server(vec![Action::AnswerAfter(released), Action::Answer]).await;
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
async fn an_answer_is_not_accepted_when_it_has_the_number_of_another_call() {
    let server = start_scripted_server(vec![Action::AnswerPrevious]).await;
    let result = server.send(&caller(), TestRequest::Once(1)).await;
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    // A read over a reused connection is sent again over a new one.
    let server = start_scripted_server(vec![Action::Answer, Action::AnswerPrevious, Action::Answer]).await;
    let caller = caller();
    assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
    assert_eq!(server.send(&caller, TestRequest::Read(2)).await, Ok(2));
    assert_eq!(server.arrived().len(), 3);
}

#[tokio::test]
async fn an_answer_is_not_accepted_when_another_process_gives_it() {
    let server = start_scripted_server(vec![Action::AnswerAs(Identity::with_incarnation("b", 1))]).await;
    let result = server.send(&caller(), TestRequest::Once(1)).await;
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    // On a connection on which one incarnation has answered, an answer of another incarnation is not accepted.
    let restarted = Identity::with_incarnation("a", 2);
    let server =
        start_scripted_server(vec![Action::Answer, Action::AnswerAs(restarted), Action::Answer]).await;
    let caller = caller();
    assert_eq!(server.send(&caller, TestRequest::Read(1)).await, Ok(1));
    assert_eq!(server.send(&caller, TestRequest::Read(2)).await, Ok(2));
    assert_eq!(server.arrived().len(), 3);
}

/// A process that serves at an address until it is stopped; its connections end with it.
struct Process {
    runtime: Option<tokio::runtime::Runtime>,
    executed: Arc<Mutex<Vec<TestRequest>>>,
}

impl Process {
    fn start(listener: std::net::TcpListener, identity: Identity) -> Process {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let executed = Arc::new(Mutex::new(Vec::new()));
        let recorded = executed.clone();
        listener.set_nonblocking(true).unwrap();
        runtime.spawn(async move {
            let answer = move |request: TestRequest| {
                recorded.lock().unwrap().push(request);
                std::future::ready(request.number())
            };
            serve(TcpListener::from_std(listener).unwrap(), 8, identity, answer).await;
        });
        Process { runtime: Some(runtime), executed }
    }
    fn stop(mut self) {
        let runtime = self.runtime.take().unwrap();
        std::thread::spawn(move || runtime.shutdown_timeout(TIMEOUT)).join().unwrap();
    }
}

#[tokio::test]
async fn a_process_does_not_execute_calls_for_another_whose_address_it_took_over() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    // The listener stays bound, as if the next process had started immediately.
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
    assert_eq!(*other.executed.lock().unwrap(), [TestRequest::Read(5)]);
    other.stop();

    let restarted = Process::start(third, Identity::with_incarnation("a", 2));
    assert_eq!(caller.call(to, &TestRequest::Write(6), TIMEOUT).await, Ok(6));
    restarted.stop();
}

#[tokio::test]
async fn a_request_is_not_executed_when_its_frame_has_another_version_or_receiver() {
    let identity = Identity::with_incarnation("a", 1);
    let execute = |_: TestRequest| async { panic!("the request was executed") };
    for receiver in ["b", "A", ""] {
        let receiver = Identity::with_incarnation(receiver, 7).id().name;
        let header = RequestHeader { call: 9, sender: 1, receiver };
        let frame = encode(FrameKind::Request, &header, &TestRequest::Once(1)).unwrap();
        let reply = respond(&identity, &frame, execute).await.unwrap();
        let incoming = IncomingFrame::parse(&reply).unwrap();
        assert_eq!(incoming.kind, FrameKind::Rejected);
        assert_eq!(
            incoming.header::<AnswerHeader>().unwrap().0,
            AnswerHeader { call: 9, responder: identity.id() }
        );
    }
    let other_incarnation = Identity::with_incarnation("a", 2).id().tag();
    let header = RequestHeader { call: 9, sender: 1, receiver: other_incarnation };
    let frame = encode(FrameKind::Request, &header, &TestRequest::Once(1)).unwrap();
    assert_eq!(
        IncomingFrame::parse(&respond(&identity, &frame, execute).await.unwrap()).unwrap().kind,
        FrameKind::Rejected
    );
    let mut frame =
        encode(FrameKind::Request, &RequestHeader { receiver: 0, ..header }, &TestRequest::Once(1)).unwrap();
    frame[0] ^= 0x10;
    assert!(respond(&identity, &frame, execute).await.is_err());
}
