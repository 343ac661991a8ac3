//! Positions in the history of a server group.
use crate::{FencingToken, messages};

messages! {
    /// A position in the history of a group's records. Positions are ordered by the fencing token first: a record of a
    /// later primary supersedes whatever an earlier one wrote under higher numbers.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
    pub struct Position {
        /// Token under which the record was written.
        pub fence: FencingToken,
        /// Number of the record. In JSON it is `n`, as the server contract (docs/server.md) names it.
        #[serde(rename = "n")]
        pub number: u64
    }
}
