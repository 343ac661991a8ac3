//! A world with virtual time for one test: tasks run in turn, and the clock advances when all of them wait.
use quincehatch_core::Millis;
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect, VirtualConnection, World, with_world};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

/// The initial time, which is well above zero, so that it differs from values that a process starts with.
const START: Millis = 100_000;

#[derive(Default)]
struct State {
    /// Time since `START`.
    now: Millis,
    last_timer: u64,
    /// When each timer is due.
    timers: BTreeMap<u64, Millis>,
    tasks: Vec<BoxFuture<'static, ()>>,
}

/// The world; its clones share one clock.
#[derive(Clone, Default)]
pub struct VirtualWorld(Arc<Mutex<State>>);

impl World for VirtualWorld {
    fn now(&self) -> Millis {
        self.0.lock().unwrap().now + START
    }
    fn wall_clock_ms(&self) -> u64 {
        self.now()
    }
    fn incarnation(&self) -> u64 {
        1
    }
    /// No task is woken: all tasks are polled whenever the clock has advanced.
    fn wake_at(&self, at: Millis, _: Waker) -> u64 {
        let mut state = self.0.lock().unwrap();
        state.last_timer += 1;
        let timer = state.last_timer;
        state.timers.insert(timer, at);
        timer
    }
    fn cancel_timer(&self, timer: u64) {
        self.0.lock().unwrap().timers.remove(&timer);
    }
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.0.lock().unwrap().tasks.push(task);
    }
    fn connect(
        &self,
        _: &str,
        _: OnDisconnect,
    ) -> BoxFuture<'static, io::Result<Arc<dyn VirtualConnection>>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }
    fn exchange_frame(&self, _: &str, _: Vec<u8>) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }
    fn injected_bug(&self, _: &str) -> bool {
        false
    }
    fn trace_point(&self, _: &str) {}
}

impl VirtualWorld {
    /// Calls `work` in this world.
    pub fn enter<T>(&self, work: impl FnOnce() -> T) -> T {
        with_world(Arc::new(self.clone()), work)
    }

    /// Runs the future to completion, or drops it once it is pending and `cancel` returns true.
    pub fn run<T>(&self, future: impl Future<Output = T>, cancel: impl Fn() -> bool) -> Option<T> {
        self.enter(|| {
            let mut future: Pin<Box<dyn Future<Output = T> + '_>> = Box::pin(future);
            loop {
                if let Poll::Ready(value) = future.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
                    return Some(value);
                }
                self.poll_tasks();
                if cancel() {
                    return None;
                }
                assert!(self.advance(), "deadlock: all tasks are pending and no timer is set");
            }
        })
    }

    fn poll_tasks(&self) {
        let tasks = std::mem::take(&mut self.0.lock().unwrap().tasks);
        for mut task in tasks {
            if task.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending() {
                self.0.lock().unwrap().tasks.push(task);
            }
        }
    }

    /// Advances the clock to the next timer. Returns false if there is none.
    fn advance(&self) -> bool {
        let mut state = self.0.lock().unwrap();
        let Some((&timer, &at)) = state.timers.iter().min_by_key(|(_, at)| **at) else { return false };
        state.timers.remove(&timer);
        state.now = state.now.max(at.saturating_sub(START));
        true
    }
}
