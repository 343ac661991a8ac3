//! The command line of `quincehatch-keeper`.
use crate::invalid_settings;
use quincehatch_core::Error;

const HELP: &str = "quincehatch-keeper: a chain keeper of quincehatch

usage: quincehatch-keeper --settings FILE [--init | --join | --check]

  --settings FILE   the settings file (TOML)
  --init            first start of the chain: create the data directory
  --join            first start of a machine that `quincehatchctl members --add` brings in
  --check           check the settings and end
  --log SPEC        like info, or debug,chain=trace; wins over the file
  -h, --help        this text
  -V, --version     the version";

/// The first start of a keeper, which creates its data directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstStart {
    /// All keepers of the chain start for the first time.
    Init,
    /// The machine joins a chain that runs.
    Join,
}

/// The arguments.
#[derive(Debug, Default)]
pub struct Args {
    /// The settings file.
    pub settings_file: Option<String>,
    /// Log level, which overrides the one in the settings.
    pub log: Option<String>,
    /// `None` if the data directory exists already.
    pub first_start: Option<FirstStart>,
    /// Check the settings and end.
    pub check: bool,
}

/// Reads the command line; `None` if it asked for the help or the version, which were printed.
///
/// # Errors
/// If an argument is unknown, lacks its value, or contradicts another.
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
        (true, true) => return Err(invalid_settings("--init and --join exclude each other")),
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
