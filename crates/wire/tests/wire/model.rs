//! A model check of two clients that share connections: it explores every order of answers, disconnects, restarts and
//! replacements, with up to three faults in a run.
use crate::TestRequest;
use crate::network::{Event, Network};
use quincehatch_wire::{CallError, Caller, Destination, Identity};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// Longer than any run, so that no call times out.
const TIMEOUT: Duration = Duration::from_secs(36_000);
/// The largest number of events in a run that are not plain answers.
const MAX_FAULTS: usize = 3;

/// One decision of a run among several options.
struct Decision {
    chosen: usize,
    /// The number of options.
    options: usize,
}

/// The decisions of one run. The next run differs in the last decision that has an option left.
#[derive(Default)]
struct Choices {
    decisions: Vec<Decision>,
    next: usize,
}

impl Choices {
    /// Returns the option that this run chooses among `options`.
    fn choose(&mut self, options: usize) -> usize {
        if self.next == self.decisions.len() {
            self.decisions.push(Decision { chosen: 0, options });
        }
        self.next += 1;
        self.decisions[self.next - 1].chosen
    }

    /// Advances to the next run. Returns `false` when all runs were made.
    fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some(Decision { chosen, options }) = self.decisions.pop() {
            if chosen + 1 < options {
                self.decisions.push(Decision { chosen: chosen + 1, options });
                return true;
            }
        }
        false
    }
}

/// The completed requests and their results.
type Results = Arc<Mutex<Vec<(TestRequest, Result<u32, CallError>)>>>;
type Client = Pin<Box<dyn Future<Output = ()>>>;

fn client(caller: &Arc<Caller<Network>>, requests: [TestRequest; 2], results: &Results) -> Client {
    let (caller, results) = (caller.clone(), results.clone());
    Box::pin(async move {
        for request in requests {
            let result = caller.call(Destination::process("a", "host:1"), &request, TIMEOUT).await;
            results.lock().unwrap().push((request, result));
        }
    })
}

/// The record of one run.
struct Run {
    events: Vec<Event>,
    network: Network,
    results: Results,
}

/// Makes the run that `choices` selects.
fn run(choices: &mut Choices, requests: [[TestRequest; 2]; 2]) -> Run {
    let (network, results) = (Network::new(), Results::default());
    let caller = Caller::with_connector(Identity::with_incarnation("caller", 1), network.clone());
    let mut clients = requests.map(|requests| Some(client(&caller, requests, &results)));
    let mut events = Vec::new();
    loop {
        for slot in &mut clients {
            let mut context = Context::from_waker(Waker::noop());
            if slot.as_mut().is_some_and(|client| client.as_mut().poll(&mut context) == Poll::Ready(())) {
                *slot = None;
            }
        }
        let pending = network.pending_connections();
        if pending.is_empty() {
            assert!(
                clients.iter().all(Option::is_none),
                "a call is pending but no request is, after {events:?}"
            );
            return Run { events, network, results };
        }
        let connection = pending[choices.choose(pending.len())];
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
        let execution_count =
            state.executions.iter().filter(|execution| execution.request == *request).count();
        let message = format!(
            "{request:?} ended with {result:?} and was executed {execution_count} times, after {events:?}"
        );
        match result {
            Ok(number) => assert!(*number == request.number() && execution_count > 0, "{message}"),
            Err(CallError::NotSent(_) | CallError::WrongReceiver { .. }) => {
                assert!(execution_count == 0 || !matches!(request, TestRequest::Once(_)), "{message}");
            }
            Err(CallError::NoAnswer(_)) => assert!(matches!(request, TestRequest::Read(_)), "{message}"),
            Err(CallError::OutcomeUnknown(_)) => {
                assert!(!matches!(request, TestRequest::Read(_)), "{message}")
            }
        }
        assert!(execution_count <= 1 || !matches!(request, TestRequest::Once(_)), "{message}");
        assert!(execution_count <= 2, "{message}");
    }
    assert!(
        state.executions.iter().all(|execution| execution.process == "a"),
        "executed by another process: {events:?} {:?}",
        state.executions
    );
}

/// Checks every run with these requests and returns the number of runs.
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
fn an_answer_reaches_only_its_own_call_in_every_order_of_events() {
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
