//! Parsing of the command line into words and flags, before they are interpreted as a command.
use super::help::HELP;
use lexopt::Arg::{Long, Short, Value};
use std::str::FromStr;

/// Flags without a value.
const SWITCHES: &[&str] = &[
    "untimed",
    "final",
    "promotion-faults",
    "direct",
    "departures",
    "slow-promoter",
    "late-joins",
    "control",
];
/// Flags with a value.
const VALUE_FLAGS: &[&str] = &[
    "shape",
    "dir",
    "port",
    "name",
    "addr",
    "label",
    "peer",
    "operator-listener",
    "data",
    "relay",
    "client-listener",
    "scenario",
    "seconds",
    "callers",
    "pause-ms",
    "seed",
    "seeds",
    "from",
    "keepers",
    "nodes",
    "bug",
    "rounds",
    "part",
    "groups",
    "changes",
    "sessions",
    "allow",
    "large-nodes",
];
/// Deprecated flags with their current names.
const DEPRECATED_FLAGS: &[(&str, &str)] = &[
    ("held", "direct"),
    ("hands", "promotion-faults"),
    ("door", "client-listener"),
    ("desk", "operator-listener"),
];

/// A flag from the command line with its value, which is empty for switches.
struct Flag {
    name: String,
    value: String,
}

/// The command line, split into words and flags.
#[derive(Default)]
pub(super) struct Flags {
    /// Arguments that are not flags, in order.
    pub(super) words: Vec<String>,
    given: Vec<Flag>,
}

impl Flags {
    /// Reads the arguments; `None` if the help or version text was requested and has been printed.
    pub(super) fn read(mut parser: lexopt::Parser) -> Result<Option<Flags>, String> {
        let mut flags = Flags::default();
        while let Some(argument) = parser.next().map_err(|error| error.to_string())? {
            let name = match argument {
                Short('h') | Long("help") => {
                    println!("{HELP}");
                    return Ok(None);
                }
                Short('V') | Long("version") => {
                    println!("quincehatch-lab {}", env!("CARGO_PKG_VERSION"));
                    return Ok(None);
                }
                Value(word) => {
                    flags.words.push(word.into_string().map_err(|word| format!("{word:?} is not text"))?);
                    continue;
                }
                Long(name) => current_name(name).to_owned(),
                Short(_) => return Err(argument.unexpected().to_string()),
            };
            let value = flag_value(&mut parser, &name)?;
            flags.given.push(Flag { name, value });
        }
        Ok(Some(flags))
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.given.iter().any(|flag| flag.name == name)
    }

    /// Returns the last value of a flag.
    pub(super) fn last(&self, name: &str) -> Option<String> {
        self.all(name).pop()
    }

    pub(super) fn last_or(&self, name: &str, default: &str) -> String {
        self.last(name).unwrap_or_else(|| default.to_owned())
    }

    pub(super) fn all(&self, name: &str) -> Vec<String> {
        self.given.iter().filter(|flag| flag.name == name).map(|flag| flag.value.clone()).collect()
    }

    pub(super) fn required(&self, name: &str) -> Result<String, String> {
        self.last(name).ok_or_else(|| format!("--{name} is missing"))
    }

    pub(super) fn number<N: FromStr>(&self, name: &str, default: N) -> Result<N, String> {
        match self.last(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| format!("--{name}: {text:?} is not a number in range")),
        }
    }
}

fn current_name(flag: &str) -> &str {
    let renamed = DEPRECATED_FLAGS.iter().find(|(deprecated, _)| *deprecated == flag);
    renamed.map_or(flag, |(_, current)| current)
}

fn flag_value(parser: &mut lexopt::Parser, name: &str) -> Result<String, String> {
    if SWITCHES.contains(&name) {
        return Ok(String::new());
    }
    if !VALUE_FLAGS.contains(&name) {
        return Err(format!("invalid option '--{name}'"));
    }
    let value = parser.value().map_err(|error| error.to_string())?;
    value.into_string().map_err(|value| format!("--{name}: {value:?} is not text"))
}
