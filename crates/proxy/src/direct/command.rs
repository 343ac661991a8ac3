//! What a client asks on a session.
use bytes::Bytes;

/// One command of a session. Texts are the client's own, byte for byte.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionCommand {
    /// Begin a transaction.
    Begin {
        /// It only reads.
        read: bool,
    },
    /// Commit the open transaction.
    Commit,
    /// Roll the open or failed transaction back.
    Rollback,
    /// Run a statement that only reads.
    Read {
        /// The statement.
        text: Bytes,
    },
    /// Run a statement that writes.
    Write {
        /// The statement.
        text: Bytes,
    },
    /// Set a session setting.
    Set {
        /// The setting.
        name: Bytes,
        /// Its value.
        value: Bytes,
    },
    /// Prepare a statement.
    Prepare {
        /// The client's name for it.
        name: Bytes,
        /// It writes.
        write: bool,
        /// The statement with places for arguments.
        template: Bytes,
    },
    /// Run a prepared statement.
    Execute {
        /// The client's name for it.
        name: Bytes,
        /// The arguments.
        arguments: Bytes,
    },
    /// Forget a prepared statement.
    Deallocate {
        /// The client's name for it.
        name: Bytes,
    },
    /// No command that is known here.
    Unknown,
}

/// A command with the id that the client gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionRequest {
    /// The client's id; statements carry it to the server, whose stamp covers it.
    pub id: Bytes,
    /// What is asked.
    pub command: SessionCommand,
}
