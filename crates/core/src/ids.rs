//! Type aliases for the names, numbers and times that all crates share.
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Milliseconds on this process's own monotonic clock, or a duration in milliseconds. Points in time are never
/// compared across machines: their clocks have no common origin.
pub type Millis = u64;

/// A fencing token. It increases each time the primary of a group, or the holder of a singleton role, changes; work
/// under a lower token is rejected.
pub type FencingToken = u64;

/// Version of a configuration, of a view or of a session's state.
pub type Version = u64;

/// Number of an entry in the replicated log, which is also its number in the change feed.
pub type ChangeNumber = u64;

/// A short string: the name of a process, a server or a group, or a network address.
pub type Name = CompactString;

/// Labels that servers and requests carry, by key.
pub type Labels = BTreeMap<Name, Name>;
