//! Which process is at one end of a call: its name and its incarnation, as short numbers.
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::{Name, hash64};
use quincehatch_runtime::seam;

/// The receiver tag of requests to whichever process listens at the address.
pub const ANY_RECEIVER: u32 = 0;

/// A process as frames name it: hashes, because its name would be longer than most messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ProcessId {
    /// Hash of the name, the same across restarts.
    pub name: u32,
    /// Drawn at random at each start. It is short because it only confirms what the connection already proves: a
    /// connection ends with its process.
    pub incarnation: u16,
}

impl ProcessId {
    /// The receiver tag of this one incarnation.
    pub fn tag(self) -> u32 {
        fold(hash64(&[&self.name.to_le_bytes(), &self.incarnation.to_le_bytes()]))
    }
}

/// The receiver tag of every incarnation of the process with that name.
pub fn name_tag(name: &str) -> u32 {
    fold(hash64(&[name.as_bytes()]))
}

/// 32 bits of a hash, never [`ANY_RECEIVER`].
fn fold(hash: u64) -> u32 {
    let half = (hash ^ (hash >> 32)) as u32;
    half.max(ANY_RECEIVER + 1)
}

/// The process that calls or answers.
#[derive(Clone, Debug)]
pub struct Identity {
    name: Name,
    id: ProcessId,
}

impl Identity {
    /// This process under that name, in its present incarnation.
    pub fn new(name: &str) -> Identity {
        Identity::with_incarnation(name, seam::incarnation())
    }

    /// A process of that name in a given incarnation.
    pub fn with_incarnation(name: &str, incarnation: u64) -> Identity {
        let id = ProcessId { name: name_tag(name), incarnation: fold(incarnation) as u16 };
        Identity { name: name.into(), id }
    }

    /// The name of the process.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// The process as frames name it.
    pub fn id(&self) -> ProcessId {
        self.id
    }

    /// Whether a request with that receiver tag is meant for this process.
    pub fn is_receiver(&self, tag: u32) -> bool {
        tag == ANY_RECEIVER || tag == self.id.name || tag == self.id.tag()
    }
}
