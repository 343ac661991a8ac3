//! The text of a configuration or a settings file, converted to the current keys before `schematic` reads it.
use crate::deprecated_keys::{self, DeprecatedKeys, KeyConflict};
use crate::objects;
use quincehatch_core::{Error, ErrorCode};
use serde_json::Value;

/// The formats in which `schematic` receives a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Json,
    Toml,
}

impl Format {
    /// Returns a file name from which `schematic` derives the format. The name appears in its error texts.
    pub(crate) fn source_name(self) -> &'static str {
        match self {
            Format::Json => "configuration.json",
            Format::Toml => "configuration.toml",
        }
    }

    /// Returns JSON for a text that begins with a brace, TOML for any other.
    fn of(text: &str) -> Format {
        if text.trim_start().starts_with('{') { Format::Json } else { Format::Toml }
    }
}

/// A document with the current keys, and the deprecated keys that it had.
pub(crate) struct Document {
    pub(crate) text: String,
    pub(crate) format: Format,
    pub(crate) deprecated_keys: DeprecatedKeys,
}

/// Renames the deprecated keys of a parsed document.
pub(crate) type RenameKeys = fn(&mut Value) -> Result<DeprecatedKeys, KeyConflict>;

/// Reads a configuration of any format.
pub(crate) fn load(text: &str) -> Result<Document, Error> {
    let invalid = |conflict: KeyConflict| ErrorCode::ConfigurationInvalid.with_detail(conflict);
    if !objects::are_objects(text) {
        return load_plain(text, Format::of(text), deprecated_keys::rename_in_configuration).map_err(invalid);
    }
    let converted = objects::to_configuration(text)?;
    let mut tree = converted.configuration;
    let mut deprecated_keys = converted.deprecated_kinds;
    deprecated_keys.extend(deprecated_keys::rename_in_configuration(&mut tree).map_err(invalid)?);
    Ok(Document { text: tree.to_string(), format: Format::Json, deprecated_keys })
}

/// Reads TOML or JSON. A text without deprecated keys, or that cannot be parsed, is not changed, so that errors
/// refer to its lines.
pub(crate) fn load_plain(
    text: &str,
    format: Format,
    rename_keys: RenameKeys,
) -> Result<Document, KeyConflict> {
    let unchanged = || Document { text: text.to_owned(), format, deprecated_keys: DeprecatedKeys::default() };
    let tree: Option<Value> = match format {
        Format::Json => serde_json::from_str(text).ok(),
        Format::Toml => toml::from_str(text).ok(),
    };
    let Some(mut tree) = tree else {
        return Ok(unchanged());
    };
    let deprecated_keys = rename_keys(&mut tree)?;
    if deprecated_keys.is_empty() {
        return Ok(unchanged());
    }
    Ok(Document { text: tree.to_string(), format: Format::Json, deprecated_keys })
}
