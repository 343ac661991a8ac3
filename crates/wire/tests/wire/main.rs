//! Tests of calls between processes: an answer reaches only its own call, and a request that may not be repeated
//! arrives at most once.
mod keepalive;
mod layout;
mod model;
mod network;
mod sockets;

use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_wire::{Call, IdempotencyKey, RetrySafety};

/// A request of each kind of retry safety. The answer to each request is its own number.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum TestRequest {
    Read(u32),
    Write(u32),
    Once(u32),
}

impl TestRequest {
    pub fn number(self) -> u32 {
        match self {
            TestRequest::Read(number) | TestRequest::Write(number) | TestRequest::Once(number) => number,
        }
    }
}

impl Call for TestRequest {
    type Answer = u32;
    fn retry_safety(&self) -> RetrySafety {
        match self {
            TestRequest::Read(_) => RetrySafety::ReadOnly,
            TestRequest::Write(_) => RetrySafety::Idempotent(IdempotencyKey::Write),
            TestRequest::Once(_) => RetrySafety::Never,
        }
    }
    fn kind(&self) -> &'static str {
        match self {
            TestRequest::Read(_) => "read",
            TestRequest::Write(_) => "write",
            TestRequest::Once(_) => "once",
        }
    }
}
