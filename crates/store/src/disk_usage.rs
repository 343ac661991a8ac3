//! How much of its allowed size a data directory takes.
use quincehatch_core::messages;

messages! {
    /// Bytes that the data directory takes and may take.
    #[derive(Copy, Eq, Default)]
    pub struct DiskUsage {
        /// Bytes taken.
        pub used: u64,
        /// Bytes allowed; 0 if there is no limit.
        pub allowed: u64
    }
}

impl DiskUsage {
    /// Is the reserve in use? The last quarter of the allowed size is for votes, views and leases, so configurations,
    /// which are large, are rejected by then.
    pub fn is_reserve_touched(self) -> bool {
        self.allowed > 0 && self.used > self.allowed / 4 * 3
    }
}
