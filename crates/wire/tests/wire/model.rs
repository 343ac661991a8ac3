//! Every order of answers, breaks, restarts and replacements for two callers that share connections, with up to three
//! faults in a run.
use crate::TestRequest;
use crate::network::{Event, Network};
use quincehatch_wire::{CallError, Caller, Destination, Identity};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// Longer than any run.
const TIMEOUT: Duration = Duration::from_secs(36_000);
/// Events of a run that are not plain answers.
const MAX_FAULTS: usize = 3;

/// A decision of a run.
struct Decision {
    taken: usize,
    /// How many there were to choose from.
    options: usize,
}

/// The decisions of one run. The next run differs in the last one that has an option left.
#[derive(Default)]
struct Choices {
    decisions: Vec<Decision>,
    next: usize,
}

impl Choices {
    /// The decision of this run among `options`.
    fn choose(&mut self, options: usize) -> usize {
        if self.next == self.decisions.len() {
            self.decisions.push(Decision { taken: 0, options });
        }
        self.next += 1;
        self.decisions[self.next - 1].taken
    }

    /// Goes on to the next run; false when all were made.
    fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some(Decision { taken, options }) = self.decisions.pop() {
            if taken + 1 < options {
                self.decisions.push(Decision { taken: taken + 1, options });
                return true;
            }
        }
        false
    }
}

/// The requests that have ended, and how.
type Results = Arc<Mutex<Vec<(TestRequest, Result<u32, CallError>)>>>;
type Client = Pin<Box<dyn Future<Output = ()>>>;

fn client(caller: &Arc<Caller<Network>>, requests: [TestRequest; 2], results: &Results) -> Client {
    let (caller, results) = (caller.clone(), results.clone());
    Box::pin(async move {
        for request in requests {
            let result = caller.call(Destination::process("a", "there"), &request, TIMEOUT).await;
            results.lock().unwrap().push((request, result));
        }
    })
}

/// What happened in one run.
struct Run {
    events: Vec<Event>,
    network: Network,
    results: Results,
}

/// Makes the run that the choices say.
fn run(choices: &mut Choices, requests: [[TestRequest; 2]; 2]) -> Run {
    let (network, results) = (Network::new(), Results::default());
    let caller = Caller::over(Identity::with_incarnation("caller", 1), network.clone());
    let mut clients = requests.map(|requests| Some(client(&caller, requests, &results)));
    let mut events = Vec::new();
    loop {
        for slot in &mut clients {
            let mut context = Context::from_waker(Waker::noop());
            if slot.as_mut().is_some_and(|client| client.as_mut().poll(&mut context) == Poll::Ready(())) {
                *slot = None;
            }
        }
        let waiting = network.waiting();
        if waiting.is_empty() {
            assert!(clients.iter().all(Option::is_none), "a call waits for nothing after {events:?}");
            return Run { events, network, results };
        }
        let connection = waiting[choices.choose(waiting.len())];
        let faults = events.iter().filter(|event| **event != Event::Answer).count();
        let options = if faults < MAX_FAULTS { Event::ALL.len() } else { 1 };
        let event = Event::ALL[choices.choose(options)];
        network.apply(connection, event);
        events.push(event);
    }
}

fn check(run: &Run) {
    let Run { events, network, results } = run;
    let state = network.0.lock().unwrap();
    for (request, result) in results.lock().unwrap().iter() {
        let runs = state.ran.iter().filter(|ran| ran.request == *request).count();
        let message = format!("{request:?} ended with {result:?} and ran {runs} times, after {events:?}");
        match result {
            Ok(number) => assert!(*number == request.number() && runs > 0, "{message}"),
            Err(CallError::NotSent(_) | CallError::WrongReceiver { .. }) => {
                assert!(runs == 0 || !matches!(request, TestRequest::Once(_)), "{message}");
            }
            Err(CallError::NoAnswer(_)) => assert!(matches!(request, TestRequest::Read(_)), "{message}"),
            Err(CallError::OutcomeUnknown(_)) => {
                assert!(!matches!(request, TestRequest::Read(_)), "{message}")
            }
        }
        assert!(runs <= 1 || !matches!(request, TestRequest::Once(_)), "{message}");
        assert!(runs <= 2, "{message}");
    }
    assert!(
        state.ran.iter().all(|ran| ran.process == "a"),
        "run by another process: {events:?} {:?}",
        state.ran
    );
}

fn explore(requests: [[TestRequest; 2]; 2]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let _context = runtime.enter();
    let mut choices = Choices::default();
    let mut runs = 0;
    loop {
        check(&run(&mut choices, requests));
        runs += 1;
        if !choices.advance() {
            return runs;
        }
    }
}

#[test]
fn under_every_order_an_answer_reaches_only_its_call() {
    let runs = explore([
        [TestRequest::Read(1), TestRequest::Once(2)],
        [TestRequest::Write(3), TestRequest::Read(4)],
    ]);
    assert!(runs > 10_000, "{runs} orders");
    let runs = explore([
        [TestRequest::Write(1), TestRequest::Once(2)],
        [TestRequest::Once(3), TestRequest::Write(4)],
    ]);
    assert!(runs > 10_000, "{runs} orders");
}
