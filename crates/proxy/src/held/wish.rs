//! What an origin asks on a held session and what it is told (§4.10).
use crate::port::{No, Stage};
use bytes::Bytes;
use quincehatch_core::{ErrorCode, Error, Position};

#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    Begin {
        read: bool,
    },
    Commit,
    Rollback,
    Read {
        text: Bytes,
    },
    Write {
        text: Bytes,
    },
    Set {
        name: Bytes,
        value: Bytes,
    },
    Prepare {
        name: Bytes,
        write: bool,
        shape: Bytes,
    },
    Execute {
        name: Bytes,
        rest: Bytes,
    },
    Forget {
        name: Bytes,
    },
    /// Nothing that this side knows.
    Strange,
}

/// One wish under the id that the origin gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub id: Bytes,
    pub wish: Wish,
}

/// How a wish ended: with a server's stamp, or none where this node answers by itself.
pub type Ended = Result<Option<Bytes>, Gone>;

/// Why it was not done.
#[derive(Clone, Debug, PartialEq)]
pub enum Gone {
    /// The server's own word, passed on.
    Server(No, Bytes),
    /// This node's: its end says whether something may have been kept.
    Ours(Error),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub rows: Vec<Bytes>,
    pub ended: Ended,
    pub stage: Stage,
    pub end: Option<Position>,
}

impl Told {
    pub fn done(stage: Stage) -> Told {
        Told { rows: Vec::new(), ended: Ok(None), stage, end: None }
    }
    pub fn gone(b: Error, stage: Stage) -> Told {
        Told { rows: Vec::new(), ended: Err(Gone::Ours(b)), stage, end: None }
    }
    pub fn malformed(stage: Stage) -> Told {
        Told::gone(ErrorCode::Malformed.with_detail("not possible here"), stage)
    }
}
