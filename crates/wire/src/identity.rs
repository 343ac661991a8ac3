//! Identities of the processes at the two ends of a call: name and incarnation, as short numbers.
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::{Name, hash64};
use quincehatch_runtime::seam;

/// The receiver tag of requests to whichever process listens at the address.
pub const ANY_RECEIVER: u32 = 0;

/// The identity of a process in frames. It has a hash of the name, because the name itself would be longer than most
/// messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ProcessId {
    /// Hash of the name, the same across restarts.
    pub name: u32,
    /// Drawn at random at each start. It is short because it only confirms what the connection already proves: a
    /// connection ends with its process.
    pub incarnation: u16,
}

impl ProcessId {
    /// Returns the receiver tag of this incarnation alone.
    pub fn tag(self) -> u32 {
        fold(hash64(&[&self.name.to_le_bytes(), &self.incarnation.to_le_bytes()]))
    }
}

/// Returns the receiver tag of every incarnation of the process with that name.
pub fn name_tag(name: &str) -> u32 {
    fold(hash64(&[name.as_bytes()]))
}

/// Folds a hash to 32 bits. The result is never [`ANY_RECEIVER`].
fn fold(hash: u64) -> u32 {
    let half = (hash ^ (hash >> 32)) as u32;
    half.max(ANY_RECEIVER + 1)
}

/// The name and the identity in frames of a process that calls or answers.
#[derive(Clone, Debug)]
pub struct Identity {
    name: Name,
    id: ProcessId,
}

impl Identity {
    /// Returns the identity of this process under that name, in its current incarnation.
    pub fn new(name: &str) -> Identity {
        Identity::with_incarnation(name, seam::incarnation())
    }

    /// Returns the identity of a process of that name in a given incarnation.
    pub fn with_incarnation(name: &str, incarnation: u64) -> Identity {
        let id = ProcessId { name: name_tag(name), incarnation: fold(incarnation) as u16 };
        Identity { name: name.into(), id }
    }

    /// The name of the process.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// The identity of the process in frames.
    pub fn id(&self) -> ProcessId {
        self.id
    }

    /// Whether a request with that receiver tag is meant for this process.
    pub fn is_receiver(&self, tag: u32) -> bool {
        tag == ANY_RECEIVER || tag == self.id.name || tag == self.id.tag()
    }
}
