//! Command line and settings of `quincehatch-node`. Flags override the settings file.
use lexopt::prelude::*;
use quincehatch_config::deprecated_keys::renamed_node_flag;
use quincehatch_config::settings::{NodeSettings, read_file};
use quincehatch_core::{Error, ErrorCode};
use std::ffi::OsString;

const HELP: &str = "quincehatch-node: a node of quincehatch

usage: quincehatch-node --settings FILE [flags]
       quincehatch-node --check --settings FILE

  --settings FILE   the settings file (TOML); the flags below override it
  --check           check the settings and exit
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

/// Log specification of a node without a settings file.
const DEFAULT_LOG: &str = "info";
/// Number of worker threads of a node without a settings file.
const DEFAULT_THREADS: usize = 2;

/// The action that the command line requests.
pub enum Invocation {
    /// Runs the node with these settings.
    Run(NodeSettings),
    /// Only checks the settings; they are valid.
    Check,
    /// The help or the version was requested, and has been printed.
    Printed,
}

/// The parsed command line.
#[derive(Default)]
struct Flags {
    settings_path: Option<String>,
    check: bool,
    /// Flags that override the settings file, in the order of the command line.
    overrides: Vec<Override>,
    /// One notice for each deprecated flag that was used.
    deprecated: Vec<String>,
}

struct Override {
    /// The flag's name without dashes.
    flag: String,
    value: String,
}

fn invalid_settings(detail: impl std::fmt::Display) -> Error {
    ErrorCode::InvalidSettings.with_detail(detail)
}

/// Reads the command line of this process and the settings file that it names. Reports deprecated flags on standard
/// error.
pub fn read() -> Result<Invocation, Error> {
    let Some(flags) = parse_flags(process_arguments())? else { return Ok(Invocation::Printed) };
    for notice in &flags.deprecated {
        eprintln!("quincehatch-node: {notice}");
    }
    let settings = flags.settings()?;
    Ok(if flags.check { Invocation::Check } else { Invocation::Run(settings) })
}

/// Reads the settings file again and applies the flags to it as at the start. Returns `None` if the command line
/// requests help or the version.
pub fn reload_settings() -> Result<Option<NodeSettings>, Error> {
    match parse_flags(process_arguments())? {
        Some(flags) => flags.settings().map(Some),
        None => Ok(None),
    }
}

/// Returns the path of the settings file, if the command line names one.
pub fn settings_path() -> Option<String> {
    let arguments: Vec<String> = std::env::args().collect();
    let flag = arguments.iter().position(|argument| argument == "--settings")?;
    arguments.get(flag + 1).cloned()
}

fn process_arguments() -> impl Iterator<Item = OsString> {
    std::env::args_os().skip(1)
}

/// Parses all flags. Returns `None` after printing the help or the version, if either was requested.
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
    /// Returns the current name of a flag, and records a notice if `name` is deprecated.
    fn current_name(&mut self, name: &str) -> String {
        match renamed_node_flag(name) {
            Some(renamed) => {
                self.deprecated.push(format!("--{name} is deprecated, use --{}", renamed.new));
                renamed.new.to_owned()
            }
            None => name.to_owned(),
        }
    }

    /// Returns the validated settings: those of the file, overridden by the flags.
    fn settings(&self) -> Result<NodeSettings, Error> {
        let mut settings = match &self.settings_path {
            Some(path) => read_file::<NodeSettings>(path)?,
            None => empty_settings(),
        };
        // Flags that name items of a list replace the whole list.
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
