//! Stand-in servers over loopback sockets; what they do with each frame is a list, and no step waits for a clock.
use crate::Ask;
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
const WITHIN: Duration = Duration::from_secs(600);

/// What the stand-in does with a frame.
enum Act {
    Answer,
    /// Closes the connection without an answer.
    Break,
    /// Answers under the number of the call before.
    AnswerPrevious,
    /// Answers when told to.
    AnswerAfter(oneshot::Receiver<()>),
    /// Answers as another incarnation.
    AnswerAs(Identity),
}

struct StandIn {
    addr: String,
    arrived: Arc<Mutex<Vec<Ask>>>,
    /// Each arrival, as it happens.
    arrivals: mpsc::UnboundedReceiver<Ask>,
}

fn answer_frame(me: &Identity, call: u16, number: u32) -> Vec<u8> {
    encode(FrameKind::Answer, &AnswerHeader { call, responder: me.id() }, &number).unwrap()
}

async fn stand_in(acts: Vec<Act>) -> StandIn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (acts, seen) = (Arc::new(Mutex::new(VecDeque::from(acts))), arrived.clone());
    let (tell, arrivals) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(play(stream, acts.clone(), seen.clone(), tell.clone()));
        }
    });
    StandIn { addr, arrived, arrivals }
}

async fn play(
    mut stream: TcpStream,
    acts: Arc<Mutex<VecDeque<Act>>>,
    arrived: Arc<Mutex<Vec<Ask>>>,
    tell: mpsc::UnboundedSender<Ask>,
) {
    let me = Identity::with_incarnation("a", 1);
    while let Ok(frame) = read_frame(&mut stream).await {
        let (header, message) = Incoming::parse(&frame).unwrap().header::<RequestHeader>().unwrap();
        let ask: Ask = borsh::from_slice(message).unwrap();
        arrived.lock().unwrap().push(ask);
        let act = acts.lock().unwrap().pop_front().unwrap_or(Act::Answer);
        let _ = tell.send(ask);
        let (as_whom, call) = match act {
            Act::Answer => (me.clone(), header.call),
            Act::Break => return,
            Act::AnswerPrevious => (me.clone(), header.call.wrapping_sub(1)),
            Act::AnswerAfter(told) => {
                let _ = told.await;
                (me.clone(), header.call)
            }
            Act::AnswerAs(other) => (other, header.call),
        };
        if write_frame(&mut stream, &answer_frame(&as_whom, call, ask.number())).await.is_err() {
            return;
        }
    }
}

fn caller() -> Arc<Caller> {
    Caller::new(Identity::with_incarnation("caller", 1))
}

impl StandIn {
    async fn asked(&self, caller: &Caller, ask: Ask) -> Result<u32, CallError> {
        caller.call(Destination::process("a", &self.addr), &ask, WITHIN).await
    }
    fn arrived(&self) -> Vec<Ask> {
        self.arrived.lock().unwrap().clone()
    }
}

#[tokio::test]
async fn a_call_that_may_not_be_repeated_arrives_once_when_its_connection_breaks() {
    let server = stand_in(vec![Act::Answer, Act::Break, Act::Answer]).await;
    let caller = caller();
    assert_eq!(server.asked(&caller, Ask::Read(1)).await, Ok(1));
    let got = server.asked(&caller, Ask::Once(2)).await;
    assert!(matches!(got, Err(CallError::OutcomeUnknown(_))), "{got:?}");
    assert_eq!(server.arrived(), [Ask::Read(1), Ask::Once(2)]);
}

#[tokio::test]
async fn a_call_that_may_be_repeated_is_sent_again_when_a_kept_connection_breaks() {
    for ask in [Ask::Read(2), Ask::Write(2)] {
        let server = stand_in(vec![Act::Answer, Act::Break, Act::Answer]).await;
        let caller = caller();
        assert_eq!(server.asked(&caller, Ask::Read(1)).await, Ok(1));
        assert_eq!(server.asked(&caller, ask).await, Ok(2));
        assert_eq!(server.arrived(), [Ask::Read(1), ask, ask]);
    }
}

#[tokio::test]
async fn a_late_answer_reaches_nobody_else() {
    let (release, told) = oneshot::channel();
    let mut server = stand_in(vec![Act::AnswerAfter(told), Act::Answer]).await;
    let caller = caller();
    let addr = server.addr.clone();
    tokio::select! {
        got = caller.call(Destination::process("a", &addr), &Ask::Read(1), WITHIN) => panic!("{got:?}"),
        ask = server.arrivals.recv() => assert_eq!(ask, Some(Ask::Read(1))),
    }
    release.send(()).unwrap();
    assert_eq!(server.asked(&caller, Ask::Read(2)).await, Ok(2));
}

#[tokio::test]
async fn an_answer_under_another_number_is_not_taken() {
    let server = stand_in(vec![Act::AnswerPrevious]).await;
    let got = server.asked(&caller(), Ask::Once(1)).await;
    assert!(matches!(got, Err(CallError::OutcomeUnknown(_))), "{got:?}");
    // On a kept connection a read goes out again, on a new one.
    let server = stand_in(vec![Act::Answer, Act::AnswerPrevious, Act::Answer]).await;
    let caller = caller();
    assert_eq!(server.asked(&caller, Ask::Read(1)).await, Ok(1));
    assert_eq!(server.asked(&caller, Ask::Read(2)).await, Ok(2));
    assert_eq!(server.arrived().len(), 3);
}

#[tokio::test]
async fn an_answer_of_another_process_is_not_taken() {
    let server = stand_in(vec![Act::AnswerAs(Identity::with_incarnation("b", 1))]).await;
    let got = server.asked(&caller(), Ask::Once(1)).await;
    assert!(matches!(got, Err(CallError::OutcomeUnknown(_))), "{got:?}");
    // Nor one of another incarnation on a connection that has its first one at its end.
    let reborn = Identity::with_incarnation("a", 2);
    let server = stand_in(vec![Act::Answer, Act::AnswerAs(reborn), Act::Answer]).await;
    let caller = caller();
    assert_eq!(server.asked(&caller, Ask::Read(1)).await, Ok(1));
    assert_eq!(server.asked(&caller, Ask::Read(2)).await, Ok(2));
    assert_eq!(server.arrived().len(), 3);
}

/// A process that serves at an address until it is dropped, with all its connections.
struct Process {
    runtime: Option<tokio::runtime::Runtime>,
    ran: Arc<Mutex<Vec<Ask>>>,
}

impl Process {
    fn start(listener: std::net::TcpListener, me: Identity) -> Process {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let ran = Arc::new(Mutex::new(Vec::new()));
        let seen = ran.clone();
        listener.set_nonblocking(true).unwrap();
        runtime.spawn(async move {
            let answer = move |ask: Ask| {
                seen.lock().unwrap().push(ask);
                std::future::ready(ask.number())
            };
            serve(TcpListener::from_std(listener).unwrap(), 8, me, answer).await;
        });
        Process { runtime: Some(runtime), ran }
    }
    fn stop(mut self) {
        let runtime = self.runtime.take().unwrap();
        std::thread::spawn(move || runtime.shutdown_timeout(WITHIN)).join().unwrap();
    }
}

#[tokio::test]
async fn a_process_started_at_the_address_of_another_does_not_take_its_calls() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    // The address stays bound, as if the next process had come at once.
    let (second, third) = (listener.try_clone().unwrap(), listener.try_clone().unwrap());
    let caller = caller();
    let to = Destination::process("a", &addr);
    let first = Process::start(listener, Identity::with_incarnation("a", 1));
    assert_eq!(caller.call(to, &Ask::Write(1), WITHIN).await, Ok(1));
    first.stop();

    let other = Process::start(second, Identity::with_incarnation("b", 1));
    for ask in [Ask::Read(2), Ask::Write(3), Ask::Once(4)] {
        let got = caller.call(to, &ask, WITHIN).await;
        let by = Identity::with_incarnation("b", 1).id();
        assert_eq!(got, Err(CallError::WrongReceiver { by }));
    }
    assert_eq!(caller.call(Destination::address(&addr), &Ask::Read(5), WITHIN).await, Ok(5));
    assert_eq!(*other.ran.lock().unwrap(), [Ask::Read(5)]);
    other.stop();

    let again = Process::start(third, Identity::with_incarnation("a", 2));
    assert_eq!(caller.call(to, &Ask::Write(6), WITHIN).await, Ok(6));
    again.stop();
}

#[tokio::test]
async fn a_frame_of_another_version_or_for_another_process_is_not_run() {
    let me = Identity::with_incarnation("a", 1);
    let ran = |_: Ask| async { panic!("it was run") };
    for receiver in ["b", "A", ""] {
        let receiver = Identity::with_incarnation(receiver, 7).id().name;
        let header = RequestHeader { call: 9, sender: 1, receiver };
        let frame = encode(FrameKind::Request, &header, &Ask::Once(1)).unwrap();
        let back = respond(&me, &frame, ran).await.unwrap();
        let incoming = Incoming::parse(&back).unwrap();
        assert_eq!(incoming.kind, FrameKind::Rejected);
        assert_eq!(
            incoming.header::<AnswerHeader>().unwrap().0,
            AnswerHeader { call: 9, responder: me.id() }
        );
    }
    let earlier = Identity::with_incarnation("a", 2).id().tag();
    let header = RequestHeader { call: 9, sender: 1, receiver: earlier };
    let frame = encode(FrameKind::Request, &header, &Ask::Once(1)).unwrap();
    assert_eq!(Incoming::parse(&respond(&me, &frame, ran).await.unwrap()).unwrap().kind, FrameKind::Rejected);
    let mut frame =
        encode(FrameKind::Request, &RequestHeader { receiver: 0, ..header }, &Ask::Once(1)).unwrap();
    frame[0] ^= 0x10;
    assert!(respond(&me, &frame, ran).await.is_err());
}
