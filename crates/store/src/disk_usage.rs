//! The size of a data directory in relation to its allowed size.
use quincehatch_core::messages;

messages! {
    /// Size and allowed size of a data directory, in bytes.
    #[derive(Copy, Eq, Default)]
    pub struct DiskUsage {
        /// Bytes that the directory takes.
        pub used: u64,
        /// Bytes that the directory may take; 0 if there is no limit.
        pub allowed: u64
    }
}

impl DiskUsage {
    /// Whether the reserve is in use. The last quarter of the allowed size is reserved for votes, views and leases,
    /// which are small; configurations, which are large, are rejected while the reserve is in use.
    pub fn is_reserve_in_use(self) -> bool {
        self.allowed > 0 && self.used > self.allowed / 4 * 3
    }
}
