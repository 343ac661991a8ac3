//! The world in which a simulated process runs, in place of tokio and the kernel.
use quincehatch_core::Millis;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Waker;

/// A boxed future that may move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An HTTP connection in a world of virtual time.
pub trait VirtualConnection: Send + Sync {
    /// Sends a `POST` with a JSON body; the status and the body of the response.
    ///
    /// # Errors
    /// If the connection breaks before the response has arrived.
    fn request(
        &self,
        path: String,
        body: serde_json::Value,
        token: Option<String>,
    ) -> BoxFuture<'_, io::Result<(u16, serde_json::Value)>>;

    /// Is the connection closed, by either side?
    fn is_closed(&self) -> bool;

    /// Closes the connection.
    fn close(&self);
}

/// Called once if a connection breaks while it is idle, which no request would notice.
pub type OnDisconnect = Box<dyn FnOnce(io::Error) + Send>;

/// What a simulated process has in place of tokio and the kernel.
pub trait World: Send + Sync {
    /// The process's own monotonic clock.
    fn now(&self) -> Millis;

    /// The wall clock, in milliseconds since the Unix epoch.
    fn wall_clock_ms(&self) -> u64;

    /// A number that differs from one start of the process to the next, whatever its clocks say.
    fn incarnation(&self) -> u64;

    /// Wakes the task when the process's clock reaches `at`; the number cancels the timer.
    fn wake_at(&self, at: Millis, waker: Waker) -> u64;

    /// Cancels the timer of that number.
    fn cancel_timer(&self, timer: u64);

    /// Starts a task of the process.
    fn spawn(&self, task: BoxFuture<'static, ()>);

    /// Opens an HTTP connection.
    ///
    /// # Errors
    /// If nothing at that address accepts it.
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

    /// Does this run contain that deliberate bug? Such runs show that the checks notice it.
    fn injected_bug(&self, bug: &str) -> bool;

    /// The process has reached this point of its work; faults may be scheduled at it.
    fn trace_point(&self, point: &str);
}

thread_local! {
    static WORLD: RefCell<Option<Arc<dyn World>>> = const { RefCell::new(None) };
}

/// The world in which this thread runs at the moment; `None` in regular service.
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

/// Does this run contain that deliberate bug? Always `false` in regular service.
pub fn injected_bug(bug: &str) -> bool {
    WORLD.with(|current| current.borrow().as_ref().is_some_and(|world| world.injected_bug(bug)))
}

/// Reports to the simulator which point the process has reached. It does nothing in regular service.
pub fn trace_point(point: &str) {
    WORLD.with(|current| current.borrow().iter().for_each(|world| world.trace_point(point)));
}
