//! Flags and words of the command line, before they are put together to a command.
use crate::arguments::UsageError;
use lexopt::prelude::*;

const HELP: &str = "quincehatchctl: looks after a quincehatch cluster

usage: quincehatchctl [--node IP:PORT] [--token WORD] [--json] COMMAND ...

  status                       the cluster at a glance: keepers, primaries, nodes
  nodes                        every node's report on itself
  servers                      database servers as the asked node sees them
  placements                   placements, their servers and routes
  tenants                      what each tenant runs of what it may, by node
  key-digest                   reads a tenant's key from standard input and prints its digest for a configuration
  push FILE [--dry-run] [--base N] [--key WORD]
                               push a configuration (TOML or JSON); --dry-run only checks and shows the difference
  history                      configuration versions that are retained
  rollback VERSION             a new version with an old one's content
  explain server NAME          why each node sees a server's health as it does
  explain request ID           the path one request took
  explain promotions           what promotions were done and why
  drain NODE [--undo]          no new clients are sent to the node; its sessions go on
  promote GROUP [--to SERVER]  hand a group's primary over, drained first
  members [--add NAME=IP:PORT | --remove NAME]
                               the voting keepers; one is added or removed at a time

  --node IP:PORT   operator listener of any node; else $QH_NODE
  --token WORD     the operators' token; else $QH_TOKEN
  --json           the reply as JSON
  -h, --help       this text
  -V, --version    the version

Exit: 0 done; 2 wrong usage; else the result code's hundreds (1601 gives 16), see docs/codes.md.";

/// Everything that stands on the command line.
#[derive(Debug, Default)]
pub struct Flags {
    /// Address of the node.
    pub node: String,
    /// The operators' token.
    pub token: String,
    /// Print the reply as JSON.
    pub json: bool,
    /// `drain`: take new clients again.
    pub undo: bool,
    /// `push`, `rollback`: only validate.
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
    /// What is no flag, in order.
    pub words: Vec<String>,
}

/// What reading the flags led to.
pub enum FlagsOutcome {
    /// All flags and words.
    Flags(Flags),
    /// Help or version was asked for and is printed.
    Answered,
}

impl Flags {
    /// Reads all flags; `QH_NODE` and `QH_TOKEN` stand in for `--node` and `--token`.
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
                    return Ok(FlagsOutcome::Answered);
                }
                Short('V') | Long("version") => {
                    println!("quincehatchctl {}", env!("CARGO_PKG_VERSION"));
                    return Ok(FlagsOutcome::Answered);
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
