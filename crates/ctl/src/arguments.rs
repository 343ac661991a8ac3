//! Parses the command line of `quincehatchctl`.
use crate::command::Command;
use crate::flags::{Flags, FlagsOutcome};
use derive_more::{Display, Error};
use quincehatch_config::key_digest::{KeyDigest, MAX_KEY_BYTES};
use std::net::SocketAddr;

/// Name of the only command that does not call a node.
const KEY_DIGEST_COMMAND: &str = "key-digest";

/// The action that the command line requests.
pub enum Invocation {
    /// Call a node.
    Run(Arguments),
    /// Nothing is left to do: the help, the version or a key digest has been printed.
    Completed,
}

/// A call to a node.
pub struct Arguments {
    /// The node to call.
    pub endpoint: Endpoint,
    /// Output format of the reply.
    pub output: OutputFormat,
    /// The command to send.
    pub command: Command,
}

/// A node's operator listener.
pub struct Endpoint {
    /// Address of the listener, `ip:port`.
    pub address: String,
    /// The operators' token.
    pub token: String,
}

/// The output format of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable tables and sentences.
    Table,
    /// JSON as the node sent it.
    Json,
}

/// An error in the command line.
#[derive(Debug, Display, Error)]
pub enum UsageError {
    /// An unknown flag, or a flag without its value.
    #[display("{_0}")]
    Flag(lexopt::Error),
    /// The value of a flag that takes a version number is not a number.
    #[display("--{flag}: {value:?} is not a version")]
    FlagNotAVersion {
        /// Name of the flag.
        flag: &'static str,
        /// The value that was given.
        value: String,
    },
    /// A positional argument that must be a version number is not a number.
    #[display("{word:?} is not a version")]
    NotAVersion {
        /// The argument that was given.
        word: String,
    },
    /// The configuration file cannot be read.
    #[display("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The tenant key on standard input is empty or too long.
    #[display("a key has 1 to {MAX_KEY_BYTES} bytes")]
    NotAKey,
    /// No command was given.
    #[display("a command is missing")]
    MissingCommand,
    /// The positional arguments form no known command.
    #[display("`{words}` is not a command")]
    UnknownCommand {
        /// The positional arguments, joined by spaces.
        words: String,
    },
    /// The node's address is not an `ip:port`.
    #[display("--node: {address:?} is not an ip:port")]
    NotAnAddress {
        /// The address that was given.
        address: String,
    },
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        UsageError::Flag(error)
    }
}

/// Parses the command line and the environment variables `QH_NODE` and `QH_TOKEN`.
pub fn read() -> Result<Invocation, UsageError> {
    let flags = match Flags::read(lexopt::Parser::from_env())? {
        FlagsOutcome::Flags(flags) => flags,
        FlagsOutcome::Completed => return Ok(Invocation::Completed),
    };
    if flags.words == [KEY_DIGEST_COMMAND] {
        return print_key_digest();
    }
    let endpoint = Endpoint { address: flags.node.clone(), token: flags.token.clone() };
    let output = if flags.json { OutputFormat::Json } else { OutputFormat::Table };
    let command = Command::from_flags(flags)?;
    if endpoint.address.parse::<SocketAddr>().is_err() {
        return Err(UsageError::NotAnAddress { address: endpoint.address });
    }
    Ok(Invocation::Run(Arguments { endpoint, output, command }))
}

/// Prints the digest of the key on standard input. The key is not a command-line argument because it would end up in
/// the shell history.
fn print_key_digest() -> Result<Invocation, UsageError> {
    let mut line = String::new();
    let read_result = std::io::stdin().read_line(&mut line);
    read_result.map_err(|source| UsageError::File { path: "standard input".into(), source })?;
    let digest = KeyDigest::of(line.trim_end_matches(['\r', '\n']).as_bytes()).ok_or(UsageError::NotAKey)?;
    println!("{digest}");
    Ok(Invocation::Completed)
}
