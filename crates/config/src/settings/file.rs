//! Reading of settings files.
use super::{KeeperSettings, NodeSettings};
use crate::deprecated_keys::{self, DeprecatedKeys};
use crate::document::{self, Format, RenameKeys};
use crate::schema_error;
use quincehatch_core::{Error, ErrorCode};
use schematic::{Config, ConfigLoader};
use std::fmt::Display;

/// Settings that a program reads from a file.
pub trait SettingsFile: Config {
    /// The function that renames the deprecated keys of this file.
    const RENAME_KEYS: RenameKeys;
}

impl SettingsFile for NodeSettings {
    const RENAME_KEYS: RenameKeys = deprecated_keys::rename_in_node_settings;
}

impl SettingsFile for KeeperSettings {
    const RENAME_KEYS: RenameKeys = deprecated_keys::rename_in_keeper_settings;
}

/// Reads a TOML settings file. The caller validates the settings, once flags have been applied to them.
pub fn read_file<S: SettingsFile>(path: &str) -> Result<S, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| invalid_settings(path, error))?;
    let document = document::load_plain(&text, Format::Toml, S::RENAME_KEYS)
        .map_err(|conflict| invalid_settings(path, conflict))?;
    report_deprecated_keys(&document.deprecated_keys, path);
    let loaded = ConfigLoader::<S>::new()
        .code(document.text, document.format.source_name())
        .and_then(|loader| loader.load());
    match loaded {
        Ok(loaded) => Ok(loaded.config),
        Err(error) => Err(invalid_settings(path, schema_error::describe(&error))),
    }
}

fn invalid_settings(path: &str, why: impl Display) -> Error {
    ErrorCode::InvalidSettings.with_detail(format_args!("{path}: {why}"))
}

/// Reports deprecated keys in the log. Settings are read before the log is started, because they contain its level;
/// until then the notice goes directly to standard error, where the log goes too.
fn report_deprecated_keys(deprecated_keys: &DeprecatedKeys, path: &str) {
    if log::max_level() != log::LevelFilter::Off {
        deprecated_keys.log(path);
    } else if let Some(notice) = deprecated_keys.notice(path) {
        eprintln!("WARN  config  {notice}");
    }
}
