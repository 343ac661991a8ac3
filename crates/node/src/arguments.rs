//! Command line and settings of `quincehatch-node`. A flag wins over the settings file.
use lexopt::prelude::*;
use quincehatch_config::deprecated_keys::renamed_node_flag;
use quincehatch_config::settings::{NodeSettings, read_file};
use quincehatch_core::{Error, ErrorCode};
use std::ffi::OsString;

const HELP: &str = "quincehatch-node: a node of quincehatch

usage: quincehatch-node --settings FILE [flags]
       quincehatch-node --check --settings FILE

  --settings FILE   the settings file (TOML); flags below win over it
  --check           check the settings and end
  --name NAME       this node's name
  --zone NAME       the zone it runs in
  --client-listener IP:PORT
                    where clients and the platform call (HTTP)
  --operator-listener IP:PORT
                    where servers send heartbeats and operators call (HTTP)
  --gossip-listener IP:PORT
                    where other processes of the cluster call
  --seed IP:PORT    gossip address of another node; up to three times
  --keeper IP:PORT  address of a chain keeper; once for each
  --platform IP:PORT where the platform takes promotions
  --token WORD      the operators' token
  --log SPEC        like info, or debug,gossip=warn
  --threads N       worker threads
  -h, --help        this text
  -V, --version     the version";

/// Log level of a node whose settings name none.
const DEFAULT_LOG: &str = "info";
/// Worker threads of a node whose settings name no number.
const DEFAULT_THREADS: usize = 2;

/// What the command line asks for.
pub enum Invocation {
    /// Run with these settings.
    Run(NodeSettings),
    /// Only check the settings, which are valid.
    Check,
    /// Help or version, which are printed already.
    Answered,
}

/// What stands on the command line.
#[derive(Default)]
struct Flags {
    settings_path: Option<String>,
    check: bool,
    /// Flags that win over the settings file, in order: name without dashes, and value.
    overrides: Vec<Override>,
    deprecated: Vec<String>,
}

struct Override {
    flag: String,
    value: String,
}

fn invalid_settings(detail: impl std::fmt::Display) -> Error {
    ErrorCode::InvalidSettings.with_detail(detail)
}

/// Reads the command line of this process, and the settings file that it names. Deprecated flags are reported.
pub fn read() -> Result<Invocation, Error> {
    let Some(flags) = parse_flags(own_arguments())? else { return Ok(Invocation::Answered) };
    for notice in &flags.deprecated {
        eprintln!("quincehatch-node: {notice}");
    }
    let settings = flags.settings()?;
    Ok(if flags.check { Invocation::Check } else { Invocation::Run(settings) })
}

/// Reads the settings file again; flags win over it as at the start. `None` if the command line has no settings.
pub fn read_again() -> Result<Option<NodeSettings>, Error> {
    match parse_flags(own_arguments())? {
        Some(flags) => flags.settings().map(Some),
        None => Ok(None),
    }
}

/// Path of the settings file, if the command line names one.
pub fn settings_path() -> Option<String> {
    let arguments: Vec<String> = std::env::args().collect();
    let flag = arguments.iter().position(|argument| argument == "--settings")?;
    arguments.get(flag + 1).cloned()
}

fn own_arguments() -> impl Iterator<Item = OsString> {
    std::env::args_os().skip(1)
}

/// All flags; `None` if help or version was asked for and is printed.
fn parse_flags(arguments: impl IntoIterator<Item = OsString>) -> Result<Option<Flags>, Error> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut flags = Flags::default();
    while let Some(argument) = parser.next().map_err(invalid_settings)? {
        match argument {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("quincehatch-node {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long("settings") => flags.settings_path = Some(string_value(&mut parser)?),
            Long("check") => flags.check = true,
            Long(name) => {
                let flag = flags.current_name(name);
                if !is_override(&flag) {
                    return Err(invalid_settings(argument.unexpected()));
                }
                flags.overrides.push(Override { flag, value: string_value(&mut parser)? });
            }
            other => return Err(invalid_settings(other.unexpected())),
        }
    }
    Ok(Some(flags))
}

fn string_value(parser: &mut lexopt::Parser) -> Result<String, Error> {
    parser.value().and_then(|value| value.string()).map_err(invalid_settings)
}

fn is_override(flag: &str) -> bool {
    let flags = [
        "name",
        "zone",
        "client-listener",
        "operator-listener",
        "gossip-listener",
        "seed",
        "keeper",
        "platform",
        "token",
        "log",
        "threads",
    ];
    flags.contains(&flag)
}

impl Flags {
    /// Today's name of a flag; a deprecated one is noted.
    fn current_name(&mut self, name: &str) -> String {
        match renamed_node_flag(name) {
            Some(renamed) => {
                self.deprecated.push(format!("--{name} is deprecated, use --{}", renamed.new));
                renamed.new.to_owned()
            }
            None => name.to_owned(),
        }
    }

    /// The settings of the file with the flags applied, validated.
    fn settings(&self) -> Result<NodeSettings, Error> {
        let mut settings = match &self.settings_path {
            Some(path) => read_file::<NodeSettings>(path)?,
            None => empty_settings(),
        };
        // Lists are replaced as a whole by the flags that name their items.
        if self.has_flag("seed") {
            settings.seeds.clear();
        }
        if self.has_flag("keeper") {
            settings.keepers.clear();
        }
        for Override { flag, value } in &self.overrides {
            apply(&mut settings, flag, value.clone())?;
        }
        settings.validate()?;
        Ok(settings)
    }

    fn has_flag(&self, name: &str) -> bool {
        self.overrides.iter().any(|entry| entry.flag == name)
    }
}

fn apply(settings: &mut NodeSettings, flag: &str, value: String) -> Result<(), Error> {
    match flag {
        "name" => settings.name = value,
        "zone" => settings.zone = value,
        "client-listener" => settings.client_listener = value,
        "operator-listener" => settings.operator_listener = value,
        "gossip-listener" => settings.gossip_listener = value,
        "seed" => settings.seeds.push(value),
        "keeper" => settings.keepers.push(value),
        "platform" => settings.platform = value,
        "token" => settings.token = value,
        "log" => settings.log = value,
        _ => {
            let threads = value.parse();
            settings.threads = threads
                .map_err(|_| invalid_settings(format_args!("--threads: {value:?} is not a number")))?;
        }
    }
    Ok(())
}

fn empty_settings() -> NodeSettings {
    NodeSettings {
        name: String::new(),
        zone: String::new(),
        client_listener: String::new(),
        operator_listener: String::new(),
        gossip_listener: String::new(),
        seeds: Vec::new(),
        keepers: Vec::new(),
        platform: String::new(),
        token: String::new(),
        log: DEFAULT_LOG.into(),
        threads: DEFAULT_THREADS,
    }
}
