//! Parses flags and positional arguments, from which the command is built.
use crate::arguments::UsageError;
use lexopt::prelude::*;

const HELP: &str = "quincehatchctl: operates a quincehatch cluster

usage: quincehatchctl [--node IP:PORT] [--token WORD] [--json] COMMAND ...

  status                       state of the cluster: keepers, primaries, nodes
  nodes                        every node's report on itself
  servers                      database servers as the called node sees them
  placements                   placements, their servers and routes
  tenants                      rate limit and usage of each tenant, by node
  key-digest                   read a tenant's key from standard input and print its digest for a configuration
  push FILE [--dry-run] [--base N] [--key WORD]
                               push a configuration (TOML or JSON); --dry-run only validates and shows the difference
  history                      configuration versions that are retained
  rollback VERSION             write a new version with the content of an older one
  explain server NAME          each node's health state of a server and the reasons
  explain request ID           the processing steps of one request
  explain promotions           the last promotions and their progress
  drain NODE [--undo]          stop sending new clients to the node; its sessions continue
  promote GROUP [--to SERVER]  drain a group's primary, then promote another server
  members [--add NAME=IP:PORT | --remove NAME]
                               the voting keepers; one is added or removed at a time

  --node IP:PORT   operator listener of any node (default: $QH_NODE)
  --token WORD     the operators' token (default: $QH_TOKEN)
  --json           print the reply as JSON
  -h, --help       print this help
  -V, --version    print the version

Exit status: 0 success; 2 usage error; otherwise the result code divided by 100 (1601 gives 16), see docs/codes.md.";

/// All flags and positional arguments of the command line.
#[derive(Debug, Default)]
pub struct Flags {
    /// Address of the node.
    pub node: String,
    /// The operators' token.
    pub token: String,
    /// Whether to print the reply as JSON.
    pub json: bool,
    /// `drain`: whether to end draining instead of starting it.
    pub undo: bool,
    /// `push`, `rollback`: whether to only validate.
    pub dry_run: bool,
    /// `push`, `rollback`: the version to build on.
    pub base: Option<u64>,
    /// `push`, `rollback`: idempotency key.
    pub key: Option<String>,
    /// `promote`: the server to promote.
    pub to: Option<String>,
    /// `members`: the keeper to add.
    pub add: Option<String>,
    /// `members`: the keeper to remove.
    pub remove: Option<String>,
    /// Positional arguments in order: the command and its operands.
    pub words: Vec<String>,
}

/// The outcome of parsing the command line.
pub enum FlagsOutcome {
    /// The flags and positional arguments.
    Flags(Flags),
    /// Nothing is left to do: the help or the version has been printed.
    Completed,
}

impl Flags {
    /// Parses the command line. `QH_NODE` and `QH_TOKEN` are the defaults of `--node` and `--token`.
    pub fn read(mut parser: lexopt::Parser) -> Result<FlagsOutcome, UsageError> {
        let mut flags = Flags {
            node: std::env::var("QH_NODE").unwrap_or_default(),
            token: std::env::var("QH_TOKEN").unwrap_or_default(),
            ..Flags::default()
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => {
                    println!("{HELP}");
                    return Ok(FlagsOutcome::Completed);
                }
                Short('V') | Long("version") => {
                    println!("quincehatchctl {}", env!("CARGO_PKG_VERSION"));
                    return Ok(FlagsOutcome::Completed);
                }
                Long("json") => flags.json = true,
                Long("undo") => flags.undo = true,
                Long("dry-run") => flags.dry_run = true,
                Long("node") => flags.node = parser.value()?.string()?,
                Long("token") => flags.token = parser.value()?.string()?,
                Long("base") => flags.base = Some(version_value(&mut parser, "base")?),
                Long("key") => flags.key = Some(parser.value()?.string()?),
                Long("to") => flags.to = Some(parser.value()?.string()?),
                Long("add") => flags.add = Some(parser.value()?.string()?),
                Long("remove") => flags.remove = Some(parser.value()?.string()?),
                Value(word) => flags.words.push(word.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(FlagsOutcome::Flags(flags))
    }
}

fn version_value(parser: &mut lexopt::Parser, flag: &'static str) -> Result<u64, UsageError> {
    let value = parser.value()?.string()?;
    value.parse().map_err(|_| UsageError::FlagNotAVersion { flag, value })
}
