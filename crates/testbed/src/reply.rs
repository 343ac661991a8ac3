//! Replies of nodes and their interpretation by callers.
use crate::history::CallEnd;
use quincehatch_core::ErrorCode;
use serde_json::Value;

/// Status and body of a reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

impl Reply {
    /// Returns the result code; none for a success.
    pub fn code(&self) -> Option<u64> {
        self.body["error"]["code"].as_u64()
    }

    /// Returns whether the reply has one of these result codes.
    pub fn has_code(&self, codes: &[ErrorCode]) -> bool {
        let code = self.code();
        codes.iter().any(|wanted| code == Some(wanted.number().into()))
    }
}

/// Returns how a call ended according to its reply.
pub fn call_end(reply: Option<&Reply>) -> CallEnd {
    match reply.map(|reply| reply.body["end"].as_str().unwrap_or_default()) {
        Some("kept") => CallEnd::Committed,
        Some("promised") => CallEnd::Accepted,
        Some("nothing") => CallEnd::NotApplied,
        Some(_) => CallEnd::Unknown,
        None => CallEnd::NoReply,
    }
}
