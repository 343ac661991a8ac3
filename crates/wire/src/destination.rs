//! Whom a call is meant for.
use crate::ProcessId;
use crate::identity::{ANY_RECEIVER, name_tag};

/// Whom a call is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination<'a> {
    /// Where it is sent.
    pub addr: &'a str,
    /// Which process is meant; none: whichever listens there.
    pub name: Option<&'a str>,
}

impl<'a> Destination<'a> {
    /// Whichever process listens at the address.
    pub fn address(addr: &'a str) -> Self {
        Destination { addr, name: None }
    }
    /// The process of that name, and no other that may have taken its address.
    pub fn process(name: &'a str, addr: &'a str) -> Self {
        Destination { addr, name: Some(name) }
    }
    /// The tag that requests to it bear.
    pub(super) fn receiver(&self) -> u32 {
        self.name.map_or(ANY_RECEIVER, name_tag)
    }
    /// Is that the process that is meant?
    pub(super) fn is(&self, process: ProcessId) -> bool {
        self.name.is_none_or(|name| name_tag(name) == process.name)
    }
}
