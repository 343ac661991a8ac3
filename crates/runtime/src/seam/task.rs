//! Spawning of tasks that run in the background.
use super::world::current_world;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A spawned task. Dropping the handle does not stop the task.
#[derive(Clone, Debug)]
pub struct TaskHandle(Arc<AtomicBool>);

impl TaskHandle {
    /// Whether the task has returned, panicked or been dropped.
    pub fn is_finished(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Marks the task as finished when its future is dropped, for whatever reason.
struct CompletionGuard(Arc<AtomicBool>);

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// The runtime on which tasks are spawned. A spawner may be passed to threads that are outside any runtime.
#[derive(Clone)]
pub enum Spawner {
    /// A tokio runtime.
    Tokio(tokio::runtime::Handle),
    /// The world in which the spawning thread runs.
    World,
}

impl Spawner {
    /// Returns the runtime or world of the caller.
    ///
    /// # Panics
    /// If the caller is in neither.
    pub fn current() -> Spawner {
        match current_world() {
            Some(_) => Spawner::World,
            None => Spawner::Tokio(tokio::runtime::Handle::current()),
        }
    }

    /// Starts a task that runs `future` to its end.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) -> TaskHandle {
        let finished = Arc::new(AtomicBool::new(false));
        let guard = CompletionGuard(finished.clone());
        let task = async move {
            let _guard = guard;
            future.await;
        };
        match self {
            Spawner::Tokio(handle) => drop(handle.spawn(task)),
            Spawner::World => {
                if let Some(world) = current_world() {
                    world.spawn(Box::pin(task));
                }
            }
        }
        TaskHandle(finished)
    }
}

/// Starts a task on the runtime or world of the caller.
pub fn spawn(future: impl Future<Output = ()> + Send + 'static) -> TaskHandle {
    Spawner::current().spawn(future)
}
