//! Sleeping, and limits on how long something may take.
use super::world::{World, current_world};
use quincehatch_core::Millis;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A timer of a world's clock.
struct Timer {
    world: Arc<dyn World>,
    deadline: Millis,
    /// Number of the pending wake-up, once one is registered.
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

/// Sleeps for `duration`; in a world at least one millisecond, so that its time moves on.
pub async fn sleep(duration: Duration) {
    match current_world() {
        None => tokio::time::sleep(duration).await,
        Some(world) => {
            let deadline = world.now() + (duration.as_millis() as Millis).max(1);
            Timer { world, deadline, registration: None }.await;
        }
    }
}

/// The time for something was over before it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// The result of `future`, or [`Elapsed`] if it takes longer than `duration`; it is dropped then.
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
