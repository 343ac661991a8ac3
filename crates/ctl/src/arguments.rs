//! The command line of `quincehatchctl`.
use crate::command::Command;
use crate::flags::{Flags, FlagsOutcome};
use derive_more::{Display, Error};
use quincehatch_config::key_digest::{KeyDigest, MAX_KEY_BYTES};
use std::net::SocketAddr;

/// The command that calls no node.
const KEY_DIGEST_COMMAND: &str = "key-digest";

/// What the command line asks for.
pub enum Invocation {
    /// A call to a node.
    Run(Arguments),
    /// Help or version, which are printed already.
    Answered,
}

/// A call to a node.
pub struct Arguments {
    /// The node to call.
    pub endpoint: Endpoint,
    /// How the reply is printed.
    pub output: OutputFormat,
    /// The call.
    pub command: Command,
}

/// A node's operator listener.
pub struct Endpoint {
    /// Its address, `ip:port`.
    pub address: String,
    /// The operators' token.
    pub token: String,
}

/// How a reply is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and sentences for people.
    Table,
    /// JSON as the node sent it.
    Json,
}

/// What is wrong with a command line.
#[derive(Debug, Display, Error)]
pub enum UsageError {
    /// An unknown flag, or a flag without its value.
    #[display("{_0}")]
    Flag(lexopt::Error),
    /// A flag that takes a version number got something else.
    #[display("--{flag}: {value:?} is not a version")]
    FlagNotAVersion {
        /// Name of the flag.
        flag: &'static str,
        /// What it got.
        value: String,
    },
    /// A word that should be a version number is something else.
    #[display("{word:?} is not a version")]
    NotAVersion {
        /// The word.
        word: String,
    },
    /// The configuration file cannot be read.
    #[display("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// What should be a tenant's key is empty or too long.
    #[display("a key has 1 to {MAX_KEY_BYTES} bytes")]
    NotAKey,
    /// No command was given.
    #[display("a command is missing")]
    MissingCommand,
    /// The words are no command.
    #[display("`{words}` is not a command")]
    UnknownCommand {
        /// The words, joined by blanks.
        words: String,
    },
    /// The node's address is not an `ip:port`.
    #[display("--node: {address:?} is not an ip:port")]
    NotAnAddress {
        /// What was given.
        address: String,
    },
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        UsageError::Flag(error)
    }
}

/// Reads the command line and the environment variables `QH_NODE` and `QH_TOKEN`.
pub fn read() -> Result<Invocation, UsageError> {
    let flags = match Flags::read(lexopt::Parser::from_env())? {
        FlagsOutcome::Flags(flags) => flags,
        FlagsOutcome::Answered => return Ok(Invocation::Answered),
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

/// Prints the digest of the key on standard input. A key on the command line would stand in the shell's history.
fn print_key_digest() -> Result<Invocation, UsageError> {
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    read.map_err(|source| UsageError::File { path: "standard input".into(), source })?;
    let digest = KeyDigest::of(line.trim_end_matches(['\r', '\n']).as_bytes()).ok_or(UsageError::NotAKey)?;
    println!("{digest}");
    Ok(Invocation::Answered)
}
