//! The environment in which a simulated process runs, in place of tokio and the kernel.
use quincehatch_core::Millis;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Waker;

/// A boxed future that may move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A simulated HTTP connection.
pub trait VirtualConnection: Send + Sync {
    /// Sends a `POST` with a JSON body; returns the status and the body of the response.
    ///
    /// # Errors
    /// If the connection breaks before the response has arrived.
    fn request(
        &self,
        path: String,
        body: serde_json::Value,
        token: Option<String>,
    ) -> BoxFuture<'_, io::Result<(u16, serde_json::Value)>>;

    /// Whether either side has closed the connection.
    fn is_closed(&self) -> bool;

    /// Closes the connection.
    fn close(&self);
}

/// Called once if a connection breaks while it is idle, when no request would receive the error.
pub type OnDisconnect = Box<dyn FnOnce(io::Error) + Send>;

/// The environment of a simulated process: its virtual clocks, timers, tasks and connections.
pub trait World: Send + Sync {
    /// Returns the time of the process's own monotonic clock.
    fn now(&self) -> Millis;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn wall_clock_ms(&self) -> u64;

    /// Returns a number that differs from one start of the process to the next, whatever the time of its clocks.
    fn incarnation(&self) -> u64;

    /// Registers a timer that wakes the task when the process's clock reaches `at`. Returns the number of the timer,
    /// for [`World::cancel_timer`].
    fn wake_at(&self, at: Millis, waker: Waker) -> u64;

    /// Cancels the timer with the given number.
    fn cancel_timer(&self, timer: u64);

    /// Starts a task of the process.
    fn spawn(&self, task: BoxFuture<'static, ()>);

    /// Opens an HTTP connection.
    ///
    /// # Errors
    /// If no process at that address accepts the connection.
    fn connect(
        &self,
        addr: &str,
        on_disconnect: OnDisconnect,
    ) -> BoxFuture<'static, io::Result<Arc<dyn VirtualConnection>>>;

    /// Sends one frame to a process and waits for the frame that answers it.
    ///
    /// # Errors
    /// If either frame is lost.
    fn exchange_frame(&self, addr: &str, frame: Vec<u8>) -> BoxFuture<'static, io::Result<Vec<u8>>>;

    /// Whether the deliberate bug of that name is injected into this run. Such runs show that the checks detect the
    /// bug.
    fn injected_bug(&self, bug: &str) -> bool;

    /// Records that the process has reached the named point in its work; faults may be scheduled at such points.
    fn trace_point(&self, point: &str);
}

thread_local! {
    static WORLD: RefCell<Option<Arc<dyn World>>> = const { RefCell::new(None) };
}

/// Returns the world in which this thread currently runs; `None` in production.
pub fn current_world() -> Option<Arc<dyn World>> {
    WORLD.with(|world| world.borrow().clone())
}

/// Runs `work` within a world, and returns to the caller's world afterwards.
pub fn with_world<T>(world: Arc<dyn World>, work: impl FnOnce() -> T) -> T {
    let previous = WORLD.with(|current| current.replace(Some(world)));
    let result = work();
    WORLD.with(|current| *current.borrow_mut() = previous);
    result
}

/// Whether the deliberate bug of that name is injected into this run; always `false` in production.
pub fn injected_bug(bug: &str) -> bool {
    WORLD.with(|current| current.borrow().as_ref().is_some_and(|world| world.injected_bug(bug)))
}

/// Reports to the simulator that the process has reached the named point. It does nothing in production.
pub fn trace_point(point: &str) {
    WORLD.with(|current| current.borrow().iter().for_each(|world| world.trace_point(point)));
}
