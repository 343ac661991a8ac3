//! The seam between the protocols and what runs them (§5.8): time, tasks, links and frames. Under tokio they are
//! tokio's; in a [`World`], as the simulator has one for each process, they are virtual. The code above is the same.
use quincehatch_core::Millis;
use std::cell::RefCell;
use std::future::Future;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Poll, Waker};
use std::time::Duration;

pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An HTTP link in a world of virtual time.
pub trait VirtualConnection: Send + Sync {
    fn request(
        &self,
        path: String,
        body: serde_json::Value,
        token: Option<String>,
    ) -> BoxFuture<'_, io::Result<(u16, serde_json::Value)>>;
    fn is_closed(&self) -> bool;
    fn close(&self);
}

/// Called when an idle link breaks (§4.5).
pub type OnDisconnect = Box<dyn FnOnce(io::Error) + Send>;

/// What a process of the simulator has in place of tokio and the kernel.
pub trait World: Send + Sync {
    /// The process's own clock (§2.2).
    fn now(&self) -> Millis;
    fn wall_clock_ms(&self) -> u64;
    /// Differs from one start of the process to the next, whatever its clocks say.
    fn incarnation(&self) -> u64;
    /// Wakes at that time of its clock; the number cancels it.
    fn wake_at(&self, at: Millis, w: Waker) -> u64;
    fn cancel_timer(&self, timer: u64);
    fn spawn(&self, f: BoxFuture<'static, ()>);
    fn connect(
        &self,
        addr: &str,
        on_break: OnDisconnect,
    ) -> BoxFuture<'static, io::Result<Arc<dyn VirtualConnection>>>;
    /// One frame there and one back (§2.6).
    fn exchange_frame(&self, addr: &str, frame: Vec<u8>) -> BoxFuture<'static, io::Result<Vec<u8>>>;
    /// Is this run's code broken on purpose in that way, to see a check fail (§9.4)?
    fn injected_bug(&self, bug: &str) -> bool;
    /// The process has come to this point of its work.
    fn trace_point(&self, what: &str);
}

thread_local! {
    static WORLD: RefCell<Option<Arc<dyn World>>> = const { RefCell::new(None) };
}

/// The world this thread runs in at the moment; none under tokio.
pub fn current_world() -> Option<Arc<dyn World>> {
    WORLD.with(|w| w.borrow().clone())
}

/// Runs `f` within a world.
pub fn with_world<T>(w: Arc<dyn World>, f: impl FnOnce() -> T) -> T {
    let had = WORLD.with(|x| x.replace(Some(w)));
    let t = f();
    WORLD.with(|x| *x.borrow_mut() = had);
    t
}

/// Only ever true in the simulator, in a run that is broken on purpose.
pub fn injected_bug(bug: &str) -> bool {
    WORLD.with(|w| w.borrow().as_ref().is_some_and(|w| w.injected_bug(bug)))
}

/// Tells the simulator where the process is; nothing under tokio.
pub fn trace_point(what: &str) {
    WORLD.with(|w| w.borrow().iter().for_each(|w| w.trace_point(what)));
}

/// Tells this start of the process from every other: drawn at random once, as a wall clock may be stepped back. It has
/// no order.
pub fn incarnation() -> u64 {
    static DRAWN: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    current_world().map_or_else(|| *DRAWN.get_or_init(draw_incarnation), |w| w.incarnation())
}

/// An incarnation for a part of the process that begins a life of its own.
pub fn draw_incarnation() -> u64 {
    let draw = || std::collections::hash_map::RandomState::new().build_hasher().finish();
    current_world().map_or_else(draw, |w| w.incarnation())
}

/// A number that rises from one start of a process to the next; no rule compares it over machines.
pub fn wall_clock_ms() -> u64 {
    let since = || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    current_world().map_or_else(|| since().map_or(1, |d| d.as_millis() as u64), |w| w.wall_clock_ms())
}

struct Timer {
    w: Arc<dyn World>,
    at: Millis,
    set: Option<u64>,
}

impl Future for Timer {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut std::task::Context<'_>) -> Poll<()> {
        if self.w.now() >= self.at {
            return Poll::Ready(());
        }
        if self.set.is_none() {
            self.set = Some(self.w.wake_at(self.at, cx.waker().clone()));
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(t) = self.set {
            self.w.cancel_timer(t);
        }
    }
}

pub async fn sleep(d: Duration) {
    match current_world() {
        None => tokio::time::sleep(d).await,
        Some(w) => Timer { at: w.now() + (d.as_millis() as Millis).max(1), w, set: None }.await,
    }
}

/// The time for something was over before it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

pub async fn timeout<F: Future>(d: Duration, f: F) -> Result<F::Output, Elapsed> {
    if current_world().is_none() {
        return tokio::time::timeout(d, f).await.map_err(|_| Elapsed);
    }
    let (mut f, mut over) = (pin!(f), pin!(sleep(d)));
    std::future::poll_fn(|cx| match f.as_mut().poll(cx) {
        Poll::Ready(v) => Poll::Ready(Ok(v)),
        Poll::Pending => over.as_mut().poll(cx).map(|()| Err(Elapsed)),
    })
    .await
}

/// Whichever of two ends first; the first one is looked at first.
pub async fn select_first<A: Future, B: Future>(a: A, b: B) -> Result<A::Output, B::Output> {
    let (mut a, mut b) = (pin!(a), pin!(b));
    std::future::poll_fn(|cx| match a.as_mut().poll(cx) {
        Poll::Ready(v) => Poll::Ready(Ok(v)),
        Poll::Pending => b.as_mut().poll(cx).map(Err),
    })
    .await
}

/// All of them side by side, in order.
pub async fn join_all<T>(futs: impl IntoIterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut left: Vec<_> = futs.into_iter().map(|f| (Box::pin(f), None)).collect();
    std::future::poll_fn(|cx| {
        for (f, done) in left.iter_mut().filter(|x| x.1.is_none()) {
            if let Poll::Ready(v) = f.as_mut().poll(cx) {
                *done = Some(v);
            }
        }
        if left.iter().all(|x| x.1.is_some()) { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
    left.into_iter().filter_map(|x| x.1).collect()
}

/// Side by side until one of them says yes, or all have ended.
pub async fn any_true(futs: impl IntoIterator<Item = impl Future<Output = bool>>) -> bool {
    let mut left: Vec<_> = futs.into_iter().map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        let mut yes = false;
        left.retain_mut(|f| match f.as_mut().poll(cx) {
            Poll::Ready(y) => {
                yes |= y;
                false
            }
            Poll::Pending => true,
        });
        if yes || left.is_empty() { Poll::Ready(yes) } else { Poll::Pending }
    })
    .await
}

/// A task that goes on by itself.
#[derive(Clone, Debug)]
pub struct TaskHandle(Arc<AtomicBool>);

impl TaskHandle {
    pub fn is_finished(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

struct CompletionGuard(Arc<AtomicBool>);
impl Drop for CompletionGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Where tasks are put: a runtime of tokio's, whichever thread asks, or the world.
#[derive(Clone)]
pub enum Spawner {
    Tokio(tokio::runtime::Handle),
    World,
}

impl Spawner {
    /// The runtime or world this is called in.
    pub fn current() -> Spawner {
        current_world().map_or_else(|| Spawner::Tokio(tokio::runtime::Handle::current()), |_| Spawner::World)
    }
    pub fn spawn(&self, f: impl Future<Output = ()> + Send + 'static) -> TaskHandle {
        let done = Arc::new(AtomicBool::new(false));
        let over = CompletionGuard(done.clone());
        let f = async move {
            let _over = over;
            f.await;
        };
        match self {
            Spawner::Tokio(h) => drop(h.spawn(f)),
            Spawner::World => {
                if let Some(w) = current_world() {
                    w.spawn(Box::pin(f));
                }
            }
        }
        TaskHandle(done)
    }
}

pub fn spawn(f: impl Future<Output = ()> + Send + 'static) -> TaskHandle {
    Spawner::current().spawn(f)
}
