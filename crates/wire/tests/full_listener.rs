//! Tests of a listener at its connection limit: which connection makes room for a new one.
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_wire::{Call, Caller, Destination, Identity, RetrySafety, serve};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, Semaphore, mpsc};

const MAX_CONNECTIONS: usize = 4;
/// Longer than any call of these tests takes.
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(BorshSerialize, BorshDeserialize)]
struct Echo(u32);

impl Call for Echo {
    type Answer = u32;
    fn retry_safety(&self) -> RetrySafety {
        RetrySafety::ReadOnly
    }
    fn kind(&self) -> &'static str {
        "echo"
    }
}

/// A listener whose answers wait until the test permits them.
struct HeldServer {
    addr: String,
    /// Receives each number whose answer waits.
    waiting: mpsc::UnboundedReceiver<u32>,
    permits: Arc<Semaphore>,
}

impl HeldServer {
    async fn start() -> HeldServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let (sender, waiting) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(0));
        let released = permits.clone();
        let answer = move |Echo(number)| {
            let (sender, released) = (sender.clone(), released.clone());
            async move {
                sender.send(number).unwrap();
                released.acquire().await.unwrap().forget();
                number
            }
        };
        tokio::spawn(serve(listener, MAX_CONNECTIONS, Identity::new("server"), answer));
        HeldServer { addr, waiting, permits }
    }

    /// Starts a call of its own caller, and returns once the server has its request.
    async fn begin_call(&mut self, number: u32) -> tokio::task::JoinHandle<u32> {
        let call = self.call(Caller::new(Identity::new(&format!("caller{number}"))), number);
        assert_eq!(self.waiting.recv().await, Some(number));
        call
    }

    fn call(&self, caller: Arc<Caller>, number: u32) -> tokio::task::JoinHandle<u32> {
        let addr = self.addr.clone();
        tokio::spawn(async move {
            caller.call(Destination::address(&addr), &Echo(number), TIMEOUT).await.unwrap()
        })
    }
}

/// Serializes the tests, as the counts of calls are those of the process.
static SERIAL: Mutex<()> = Mutex::const_new(());

#[tokio::test]
async fn a_request_that_is_being_answered_is_not_interrupted_for_a_new_connection() {
    let _serial = SERIAL.lock().await;
    let mut server = HeldServer::start().await;
    let mut calls = Vec::new();
    for number in 0..MAX_CONNECTIONS as u32 {
        calls.push(server.begin_call(number).await);
    }
    // Every place is busy, so the next caller waits until one of them is answered.
    let next = server.call(Caller::new(Identity::new("next")), 99);
    for _ in 0..1_000 {
        tokio::task::yield_now().await;
    }
    assert!(server.waiting.try_recv().is_err(), "more connections than the limit are served");
    server.permits.add_permits(1);
    assert_eq!(server.waiting.recv().await, Some(99));
    server.permits.add_permits(MAX_CONNECTIONS);
    for (number, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap(), number as u32);
    }
    assert_eq!(next.await.unwrap(), 99);
}

#[tokio::test]
async fn the_caller_with_the_most_idle_connections_makes_room_first() {
    let _serial = SERIAL.lock().await;
    let mut server = HeldServer::start().await;
    // One caller has three connections, which are idle after its answers; another one has the fourth.
    let other = Caller::new(Identity::new("other"));
    let others_call = server.call(other.clone(), 1);
    server.permits.add_permits(1);
    assert_eq!(others_call.await.unwrap(), 1);
    server.waiting.recv().await;
    let greedy = Caller::new(Identity::new("greedy"));
    let calls: Vec<_> = (10..13).map(|number| server.call(greedy.clone(), number)).collect();
    for _ in &calls {
        server.waiting.recv().await;
    }
    server.permits.add_permits(calls.len());
    for call in calls {
        call.await.unwrap();
    }
    server.permits.add_permits(MAX_CONNECTIONS);
    server.call(Caller::new(Identity::new("next")), 20).await.unwrap();
    // The idle connection of the other caller still works: it needs no new one.
    let connections = || quincehatch_wire::call_counters::call_counts()["echo"].connections;
    let before = connections();
    server.call(other, 2).await.unwrap();
    assert_eq!(connections(), before, "the connection of the caller with one connection was closed");
}
