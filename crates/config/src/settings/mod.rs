//! Settings files of the programs: TOML, read once at start; every mistake is listed before anything serves.
mod file;
mod keeper;
mod node;

pub use file::{SettingsFile, read_file};
pub use keeper::{KeeperSettings, NamedAddress};
pub use node::NodeSettings;

use quincehatch_core::{Error, ErrorCode};
use std::net::SocketAddr;

/// Adds a mistake unless `address` is an IP address with a port.
fn check_address(mistakes: &mut Vec<String>, key: &str, address: &str) {
    if address.parse::<SocketAddr>().is_err() {
        mistakes.push(format!("{key}: {address:?} is not an ip:port"));
    }
}

/// An error that lists the mistakes, if there are any.
fn to_result(mistakes: Vec<String>) -> Result<(), Error> {
    if mistakes.is_empty() {
        Ok(())
    } else {
        Err(ErrorCode::InvalidSettings.with_detail(mistakes.join("; ")))
    }
}
