//! Calls between processes (§2.6): an answer reaches only its call, and what may not be repeated arrives once.
mod keepalive;
mod layout;
mod model;
mod network;
mod sockets;

use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_wire::{Call, IdempotencyKey, RetrySafety};

/// One request of each kind; the answer to each is its own number.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Ask {
    Read(u32),
    Write(u32),
    Once(u32),
}

impl Ask {
    pub fn number(self) -> u32 {
        match self {
            Ask::Read(number) | Ask::Write(number) | Ask::Once(number) => number,
        }
    }
}

impl Call for Ask {
    type Answer = u32;
    fn retry_safety(&self) -> RetrySafety {
        match self {
            Ask::Read(_) => RetrySafety::ReadOnly,
            Ask::Write(_) => RetrySafety::Idempotent(IdempotencyKey::Write),
            Ask::Once(_) => RetrySafety::Never,
        }
    }
}
