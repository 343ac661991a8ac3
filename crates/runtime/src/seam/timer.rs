//! Sleeping, and time limits for futures.
use super::world::{World, current_world};
use quincehatch_core::Millis;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A timer on the clock of a world.
struct Timer {
    world: Arc<dyn World>,
    deadline: Millis,
    /// Number of the registered wake-up; `None` before the first poll.
    registration: Option<u64>,
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.world.now() >= self.deadline {
            return Poll::Ready(());
        }
        if self.registration.is_none() {
            let waker = context.waker().clone();
            self.registration = Some(self.world.wake_at(self.deadline, waker));
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(registration) = self.registration {
            self.world.cancel_timer(registration);
        }
    }
}

/// Sleeps for `duration`; in a world for at least one millisecond, so that its time advances.
pub async fn sleep(duration: Duration) {
    match current_world() {
        None => tokio::time::sleep(duration).await,
        Some(world) => {
            let deadline = world.now() + (duration.as_millis() as Millis).max(1);
            Timer { world, deadline, registration: None }.await;
        }
    }
}

/// The error of a [`timeout`]: the time limit passed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Returns the output of `future`, or [`Elapsed`] if it takes longer than `duration`; the future is dropped then.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Result<F::Output, Elapsed> {
    if current_world().is_none() {
        return tokio::time::timeout(duration, future).await.map_err(|_| Elapsed);
    }
    let mut future = pin!(future);
    let mut limit = pin!(sleep(duration));
    std::future::poll_fn(|context| match future.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Ok(output)),
        Poll::Pending => limit.as_mut().poll(context).map(|()| Err(Elapsed)),
    })
    .await
}
