//! Settings of a keeper.
use super::{check_address, to_result};
use quincehatch_core::Error;
use schematic::Config;
use serde::{Deserialize, Serialize};

/// The settings that a keeper reads at its start.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeeperSettings {
    /// The keeper's name, unique among the keepers.
    pub name: String,
    /// The keeper's own address, `ip:port`.
    pub addr: String,
    /// Names and addresses of all voters, including this keeper: `name=ip:port`.
    pub keepers: Vec<String>,
    /// The directory for the keeper's data.
    pub data_dir: String,
    /// The log level, as in `info` or `debug,chain=trace`.
    #[setting(default = "info")]
    pub log: String,
}

/// A voter as the settings list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The keeper's name.
    pub name: String,
    /// The keeper's address, `ip:port`.
    pub addr: String,
}

impl KeeperSettings {
    /// Returns the voters that are listed in the form `name=ip:port`; [`KeeperSettings::validate`] rejects any other
    /// form.
    pub fn voters(&self) -> Vec<NamedAddress> {
        let pairs = self.keepers.iter().filter_map(|keeper| keeper.split_once('='));
        pairs.map(|(name, addr)| NamedAddress { name: name.into(), addr: addr.into() }).collect()
    }

    /// Checks the settings; the error lists everything invalid.
    pub fn validate(&self) -> Result<(), Error> {
        let mut errors = Vec::new();
        check_address(&mut errors, "addr", &self.addr);
        if self.data_dir.is_empty() {
            errors.push("data_dir: a folder must be given".into());
        }
        for keeper in &self.keepers {
            check_voter(&mut errors, keeper);
        }
        let own_entry = self.voters().into_iter().find(|voter| voter.name == self.name);
        if own_entry.is_none_or(|voter| voter.addr != self.addr) {
            errors.push(format!("keepers: does not list {}={}", self.name, self.addr));
        }
        to_result(errors)
    }
}

fn check_voter(errors: &mut Vec<String>, keeper: &str) {
    match keeper.split_once('=') {
        Some((name, addr)) if !name.is_empty() => check_address(errors, "keepers", addr),
        _ => errors.push(format!("keepers: {keeper:?} is not name=ip:port")),
    }
}
