//! Waiting for several futures at once, within one task. Futures are always polled in the order given, so a simulated
//! run is the same each time.
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

/// Waits for the future that completes first, and drops the other. Returns `Ok` with the output of `first` or `Err`
/// with the output of `second`. If both are ready, it returns the output of `first`.
pub async fn select_first<A: Future, B: Future>(first: A, second: B) -> Result<A::Output, B::Output> {
    let mut first = pin!(first);
    let mut second = pin!(second);
    poll_fn(|context| match first.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Ok(output)),
        Poll::Pending => second.as_mut().poll(context).map(Err),
    })
    .await
}

/// A future of [`join_all`] and, once it has completed, its output.
struct Joined<F: Future> {
    future: Pin<Box<F>>,
    output: Option<F::Output>,
}

impl<F: Future> Joined<F> {
    /// Polls the future unless it has completed.
    fn poll(&mut self, context: &mut Context<'_>) {
        if self.output.is_some() {
            return;
        }
        if let Poll::Ready(output) = self.future.as_mut().poll(context) {
            self.output = Some(output);
        }
    }
}

/// Runs all futures concurrently and returns their outputs in the order of the futures.
pub async fn join_all<T>(futures: impl IntoIterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut joined: Vec<_> =
        futures.into_iter().map(|future| Joined { future: Box::pin(future), output: None }).collect();
    poll_fn(|context| {
        joined.iter_mut().for_each(|entry| entry.poll(context));
        if joined.iter().all(|entry| entry.output.is_some()) { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
    joined.into_iter().filter_map(|entry| entry.output).collect()
}

/// Runs all futures concurrently until one returns `true` (the others are dropped then) or all have completed. Returns
/// whether one returned `true`.
pub async fn any_true(futures: impl IntoIterator<Item = impl Future<Output = bool>>) -> bool {
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).collect();
    poll_fn(|context| {
        let mut found = false;
        pending.retain_mut(|future| match future.as_mut().poll(context) {
            Poll::Ready(output) => {
                found |= output;
                false
            }
            Poll::Pending => true,
        });
        if found || pending.is_empty() { Poll::Ready(found) } else { Poll::Pending }
    })
    .await
}
