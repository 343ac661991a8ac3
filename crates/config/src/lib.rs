//! The cluster's configuration and the settings files of the programs: reading, defaults and validation.
//!
//! A configuration comes as TOML, JSON or Kubernetes-style objects; a settings file is TOML. Keys of earlier
//! releases are still read (see [`deprecated_keys`]).
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod configuration;
pub mod deprecated_keys;
mod document;
pub mod key_digest;
pub mod objects;
mod schema_error;
pub mod settings;
mod validation;
