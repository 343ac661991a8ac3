//! Every order of answers, breaks, restarts and replacements for two callers that share connections, with up to three
//! faults in a run.
use crate::Ask;
use crate::network::{Event, Network};
use quincehatch_wire::{CallError, Caller, Destination, Identity};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(36_000);
const MOST_FAULTS: usize = 3;

/// Decisions of one run: each with the number of options it had. The next run differs in the last one that can.
#[derive(Default)]
struct Choices {
    taken: Vec<(usize, usize)>,
    at: usize,
}

impl Choices {
    fn choose(&mut self, options: usize) -> usize {
        if self.at == self.taken.len() {
            self.taken.push((0, options));
        }
        self.at += 1;
        self.taken[self.at - 1].0
    }
    fn advance(&mut self) -> bool {
        self.at = 0;
        while let Some((taken, options)) = self.taken.pop() {
            if taken + 1 < options {
                self.taken.push((taken + 1, options));
                return true;
            }
        }
        false
    }
}

type Ends = Arc<Mutex<Vec<(Ask, Result<u32, CallError>)>>>;
type Client = Pin<Box<dyn Future<Output = ()>>>;

fn client(caller: &Arc<Caller<Network>>, asks: [Ask; 2], ends: &Ends) -> Client {
    let (caller, ends) = (caller.clone(), ends.clone());
    Box::pin(async move {
        for ask in asks {
            let got = caller.call(Destination::process("a", "there"), &ask, WITHIN).await;
            ends.lock().unwrap().push((ask, got));
        }
    })
}

/// One run; returns what happened, for a failure's message.
fn run(choices: &mut Choices, asks: [[Ask; 2]; 2]) -> (Vec<Event>, Network, Ends) {
    let (network, ends) = (Network::new(), Ends::default());
    let caller = Caller::over(Identity::with_incarnation("caller", 1), network.clone());
    let mut clients = asks.map(|asks| Some(client(&caller, asks, &ends)));
    let mut events = Vec::new();
    loop {
        for slot in &mut clients {
            let mut context = Context::from_waker(Waker::noop());
            if slot.as_mut().is_some_and(|c| c.as_mut().poll(&mut context) == Poll::Ready(())) {
                *slot = None;
            }
        }
        let waiting = network.waiting();
        if waiting.is_empty() {
            assert!(clients.iter().all(Option::is_none), "a call waits for nothing after {events:?}");
            return (events, network, ends);
        }
        let line = waiting[choices.choose(waiting.len())];
        let faults = events.iter().filter(|e| **e != Event::Answer).count();
        let options = if faults < MOST_FAULTS { Event::ALL.len() } else { 1 };
        let event = Event::ALL[choices.choose(options)];
        network.apply(line, event);
        events.push(event);
    }
}

fn check(events: &[Event], network: &Network, ends: &Ends) {
    let state = network.0.lock().unwrap();
    for (ask, got) in ends.lock().unwrap().iter() {
        let runs = state.ran.iter().filter(|(_, ran)| ran == ask).count();
        let said = format!("{ask:?} ended with {got:?} and ran {runs} times, after {events:?}");
        match got {
            Ok(number) => assert!(*number == ask.number() && runs > 0, "{said}"),
            Err(CallError::NotSent(_) | CallError::WrongReceiver { .. }) => {
                assert!(runs == 0 || !matches!(ask, Ask::Once(_)), "{said}");
            }
            Err(CallError::NoAnswer(_)) => assert!(matches!(ask, Ask::Read(_)), "{said}"),
            Err(CallError::OutcomeUnknown(_)) => assert!(!matches!(ask, Ask::Read(_)), "{said}"),
        }
        assert!(runs <= 1 || !matches!(ask, Ask::Once(_)), "{said}");
        assert!(runs <= 2, "{said}");
    }
    assert!(
        state.ran.iter().all(|(name, _)| name == "a"),
        "run by another process: {events:?} {:?}",
        state.ran
    );
}

fn explore(asks: [[Ask; 2]; 2]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let _context = runtime.enter();
    let mut choices = Choices::default();
    let mut runs = 0;
    loop {
        let (events, network, ends) = run(&mut choices, asks);
        check(&events, &network, &ends);
        runs += 1;
        if !choices.advance() {
            return runs;
        }
    }
}

#[test]
fn under_every_order_an_answer_reaches_only_its_call() {
    let runs = explore([[Ask::Read(1), Ask::Once(2)], [Ask::Write(3), Ask::Read(4)]]);
    assert!(runs > 10_000, "{runs} orders");
    let runs = explore([[Ask::Write(1), Ask::Once(2)], [Ask::Once(3), Ask::Write(4)]]);
    assert!(runs > 10_000, "{runs} orders");
}
