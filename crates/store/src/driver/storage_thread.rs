//! Work on the disk, on a thread of its own: a write may take long, and must not block the runtime.
use crate::driver::Driver;
use crate::driver::incoming::{Incoming, IncomingQueue};
use crate::storage::stable_storage::StableStorage;
use quincehatch_core::{Error, ErrorCode};
use std::time::Duration;

/// A write that takes longer is a stall: requests are rejected until it ends.
const STALL: Duration = Duration::from_millis(500);

fn thread_ended() -> Error {
    ErrorCode::DiskFailed.with_detail("the writing thread has ended")
}

impl<D: StableStorage> Driver<D> {
    /// Does the work and waits for its result. If it stalls, requests are rejected meanwhile and messages of peers are
    /// dropped, so that their senders do not count this keeper as up to date.
    pub(super) async fn on_disk<T: Send + 'static>(
        &mut self,
        incoming: &mut IncomingQueue,
        work: impl FnOnce(&mut D) -> T + Send + 'static,
    ) -> Result<T, Error> {
        let mut disk = self.disk.take().ok_or_else(thread_ended)?;
        let mut task = tokio::task::spawn_blocking(move || {
            let result = work(&mut disk);
            (disk, result)
        });
        let stall = tokio::time::sleep(STALL);
        tokio::pin!(stall);
        let mut is_stalled = false;
        let (disk, result) = loop {
            tokio::select! {
                done = &mut task => break done.map_err(|_| thread_ended())?,
                () = &mut stall, if !is_stalled => {
                    is_stalled = true;
                    self.begin_stall();
                }
                Some(message) = incoming.recv(), if is_stalled => self.reject(message),
            }
        };
        self.host.record_disk_usage(disk.usage());
        self.disk = Some(disk);
        Ok(result)
    }

    fn begin_stall(&mut self) {
        log::warn!(target: "chain", "the disk has not answered for {} ms", STALL.as_millis());
        let rejections = self.host.reject_pending();
        self.deliver(rejections);
    }

    fn reject(&self, message: Incoming) {
        if let Incoming::Request(request, reply_to) = message {
            let _ = reply_to.send(self.host.unavailable_reply(&request));
        }
    }
}
