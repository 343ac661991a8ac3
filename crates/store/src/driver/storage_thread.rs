//! Runs disk operations on a separate thread: an operation may take long, and must not block the runtime.
use crate::driver::Driver;
use crate::driver::incoming::{Incoming, IncomingQueue};
use crate::storage::stable_storage::StableStorage;
use quincehatch_core::{Error, ErrorCode};
use std::time::Duration;

/// If a disk operation takes longer than this, requests are rejected until it ends.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

fn thread_ended() -> Error {
    ErrorCode::DiskFailed.with_detail("the storage thread has ended")
}

impl<D: StableStorage> Driver<D> {
    /// Runs `work` on the disk and waits for its result. While the disk stalls, requests are rejected and messages of
    /// peers are dropped, so that the peers do not consider this keeper up to date.
    pub(super) async fn run_on_disk<T: Send + 'static>(
        &mut self,
        incoming: &mut IncomingQueue,
        work: impl FnOnce(&mut D) -> T + Send + 'static,
    ) -> Result<T, Error> {
        let mut disk = self.disk.take().ok_or_else(thread_ended)?;
        let mut task = tokio::task::spawn_blocking(move || {
            let result = work(&mut disk);
            (disk, result)
        });
        let stall_timer = tokio::time::sleep(STALL_TIMEOUT);
        tokio::pin!(stall_timer);
        let mut is_stalled = false;
        let (disk, result) = loop {
            tokio::select! {
                done = &mut task => break done.map_err(|_| thread_ended())?,
                () = &mut stall_timer, if !is_stalled => {
                    is_stalled = true;
                    self.handle_stall();
                }
                Some(message) = incoming.recv(), if is_stalled => self.reject(message),
            }
        };
        self.host.record_disk_usage(disk.usage());
        self.disk = Some(disk);
        Ok(result)
    }

    fn handle_stall(&mut self) {
        log::warn!(
            target: "chain",
            "disk operation still running after {} ms; rejecting requests",
            STALL_TIMEOUT.as_millis()
        );
        let rejections = self.host.reject_pending_requests();
        self.deliver(rejections);
    }

    fn reject(&self, message: Incoming) {
        if let Incoming::Request(request, reply_to) = message {
            let _ = reply_to.send(self.host.unavailable_reply(&request));
        }
    }
}
