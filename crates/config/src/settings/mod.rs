//! Settings files of the programs, in TOML. A program reads its file at start, and reports all errors in it before it
//! serves any request.
mod file;
mod keeper;
mod node;

pub use file::{SettingsFile, read_file};
pub use keeper::{KeeperSettings, NamedAddress};
pub use node::NodeSettings;

use quincehatch_core::{Error, ErrorCode};
use std::net::SocketAddr;

/// Adds an error unless `address` is an IP address with a port.
fn check_address(errors: &mut Vec<String>, key: &str, address: &str) {
    if address.parse::<SocketAddr>().is_err() {
        errors.push(format!("{key}: {address:?} is not an ip:port"));
    }
}

/// Returns an error that lists the given errors, if there are any.
fn to_result(errors: Vec<String>) -> Result<(), Error> {
    if errors.is_empty() { Ok(()) } else { Err(ErrorCode::InvalidSettings.with_detail(errors.join("; "))) }
}
