//! The destination of a call.
use crate::ProcessId;
use crate::identity::{ANY_RECEIVER, name_tag};

/// The process that a call is intended for, and the address at which it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination<'a> {
    /// The address, `host:port`.
    pub addr: &'a str,
    /// The name of the process; `None` for whichever process listens at the address.
    pub name: Option<&'a str>,
}

impl<'a> Destination<'a> {
    /// The destination of calls to whichever process listens at the address.
    pub fn address(addr: &'a str) -> Self {
        Destination { addr, name: None }
    }

    /// The destination of calls to the process of that name, and to no other that may now listen at its address.
    pub fn process(name: &'a str, addr: &'a str) -> Self {
        Destination { addr, name: Some(name) }
    }

    /// The receiver tag of requests to this destination.
    pub(super) fn receiver_tag(&self) -> u32 {
        self.name.map_or(ANY_RECEIVER, name_tag)
    }

    /// Whether an answer from `process` is an answer from this destination.
    pub(super) fn includes(&self, process: ProcessId) -> bool {
        self.name.is_none_or(|name| name_tag(name) == process.name)
    }
}
