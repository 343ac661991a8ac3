//! The commands that a client sends on a session.
use bytes::Bytes;

/// One command of a session. Texts are the client's own, byte for byte.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionCommand {
    /// Begin a transaction.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
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
        /// The name of the setting.
        name: Bytes,
        /// Its value.
        value: Bytes,
    },
    /// Prepare a statement.
    Prepare {
        /// The client's name for it.
        name: Bytes,
        /// Whether it writes.
        write: bool,
        /// The statement with placeholders for arguments.
        template: Bytes,
    },
    /// Run a prepared statement.
    Execute {
        /// The client's name for it.
        name: Bytes,
        /// The arguments.
        arguments: Bytes,
    },
    /// Remove a prepared statement.
    Deallocate {
        /// The client's name for it.
        name: Bytes,
    },
    /// A command that is not recognized.
    Unknown,
}

/// A command with the id that the client gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionRequest {
    /// The client's id. Statements and commits carry it to the server, and the server's stamp covers it.
    pub id: Bytes,
    /// The command.
    pub command: SessionCommand,
}
