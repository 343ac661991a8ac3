//! Settings of a keeper.
use super::{check_address, to_result};
use quincehatch_core::Error;
use schematic::Config;
use serde::{Deserialize, Serialize};

/// What a keeper needs to know at its start.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeeperSettings {
    /// The keeper's name, unique among the keepers.
    pub name: String,
    /// Its own address, `ip:port`.
    pub addr: String,
    /// Names and addresses of all voters, this one too: `name=ip:port`.
    pub keepers: Vec<String>,
    /// The folder for its data.
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
    /// Its address, `ip:port`.
    pub addr: String,
}

impl KeeperSettings {
    /// The voters that are listed in the form `name=ip:port`; [`KeeperSettings::validate`] rejects any other.
    pub fn voters(&self) -> Vec<NamedAddress> {
        let pairs = self.keepers.iter().filter_map(|keeper| keeper.split_once('='));
        pairs.map(|(name, addr)| NamedAddress { name: name.into(), addr: addr.into() }).collect()
    }

    /// Checks the settings as a whole; the error lists every mistake.
    pub fn validate(&self) -> Result<(), Error> {
        let mut mistakes = Vec::new();
        check_address(&mut mistakes, "addr", &self.addr);
        if self.data_dir.is_empty() {
            mistakes.push("data_dir: a folder must be given".into());
        }
        for keeper in &self.keepers {
            check_voter(&mut mistakes, keeper);
        }
        let own_entry = self.voters().into_iter().find(|voter| voter.name == self.name);
        if own_entry.is_none_or(|voter| voter.addr != self.addr) {
            mistakes.push(format!("keepers: does not list {}={}", self.name, self.addr));
        }
        to_result(mistakes)
    }
}

fn check_voter(mistakes: &mut Vec<String>, keeper: &str) {
    match keeper.split_once('=') {
        Some((name, addr)) if !name.is_empty() => check_address(mistakes, "keepers", addr),
        _ => mistakes.push(format!("keepers: {keeper:?} is not name=ip:port")),
    }
}
