//! The command line of `quincehatch-keeper`.
use crate::invalid_settings;
use quincehatch_core::Error;

const HELP: &str = "quincehatch-keeper: a keeper of quincehatch's replicated store

usage: quincehatch-keeper --settings FILE [--init | --join | --check]

  --settings FILE   the settings file (TOML)
  --init            first start of the chain: create the data directory
  --join            first start of a machine that `quincehatchctl members --add` adds
  --check           check the settings and exit
  --log SPEC        log levels, such as info or debug,chain=trace; overrides the file
  -h, --help        print this help
  -V, --version     print the version";

/// The kind of a keeper's first start, which creates its data directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstStart {
    /// All keepers of the chain start for the first time.
    Init,
    /// The machine joins a running chain.
    Join,
}

/// The parsed command-line arguments.
#[derive(Debug, Default)]
pub struct Args {
    /// The path of the settings file.
    pub settings_file: Option<String>,
    /// The log level, which overrides the one in the settings.
    pub log: Option<String>,
    /// The kind of first start; `None` if the data directory already exists.
    pub first_start: Option<FirstStart>,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Parses the command line. Returns `None` if it requests the help or the version, after printing that.
///
/// # Errors
/// Fails if an argument is unknown, lacks its value, or contradicts another.
pub fn parse() -> Result<Option<Args>, Error> {
    use lexopt::prelude::{Long, Short};
    let mut parser = lexopt::Parser::from_env();
    let mut args = Args::default();
    let mut init = false;
    let mut join = false;
    while let Some(argument) = parser.next().map_err(invalid_settings)? {
        match argument {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("quincehatch-keeper {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long("settings") => args.settings_file = Some(text_value(&mut parser)?),
            Long("log") => args.log = Some(text_value(&mut parser)?),
            Long("init") => init = true,
            Long("join") => join = true,
            Long("check") => args.check = true,
            other => return Err(invalid_settings(other.unexpected())),
        }
    }
    args.first_start = match (init, join) {
        (true, true) => return Err(invalid_settings("--init and --join are mutually exclusive")),
        (true, false) => Some(FirstStart::Init),
        (false, true) => Some(FirstStart::Join),
        (false, false) => None,
    };
    Ok(Some(args))
}

fn text_value(parser: &mut lexopt::Parser) -> Result<String, Error> {
    use lexopt::ValueExt;
    parser.value().and_then(|value| value.string()).map_err(invalid_settings)
}
