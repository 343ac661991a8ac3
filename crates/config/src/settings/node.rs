//! Settings of a node.
use super::{check_address, to_result};
use quincehatch_core::Error;
use schematic::Config;
use serde::{Deserialize, Serialize};

/// A node asks at most this many other nodes for its first members.
const MAX_SEEDS: usize = 3;
const MAX_THREADS: usize = 64;

/// What a node needs to know at its start; all addresses are `ip:port`.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSettings {
    /// The node's name, unique in the cluster.
    pub name: String,
    /// The zone the node stands in.
    pub zone: String,
    /// Where clients and the platform call (HTTP).
    pub client_listener: String,
    /// Where servers send heartbeats and operators call (HTTP).
    pub operator_listener: String,
    /// Where other processes of the cluster call (borsh).
    pub gossip_listener: String,
    /// Gossip addresses of up to three other nodes.
    pub seeds: Vec<String>,
    /// Addresses of the keepers.
    pub keepers: Vec<String>,
    /// Where the platform takes promotions (HTTP).
    pub platform: String,
    /// The token that operators' calls must carry.
    pub token: String,
    /// The log level, as in `info` or `debug,chain=trace`.
    #[setting(default = "info")]
    pub log: String,
    /// Worker threads.
    #[setting(default = 2)]
    pub threads: usize,
}

impl NodeSettings {
    /// Checks the settings as a whole; the error lists every mistake.
    pub fn validate(&self) -> Result<(), Error> {
        let mut mistakes = Vec::new();
        self.check_required(&mut mistakes);
        self.check_addresses(&mut mistakes);
        if self.keepers.is_empty() {
            mistakes.push("keepers: at least one is needed".into());
        }
        if self.seeds.len() > MAX_SEEDS {
            mistakes.push("seeds: at most three".into());
        }
        if !(1..=MAX_THREADS).contains(&self.threads) {
            mistakes.push(format!("threads: {} is outside 1 to {MAX_THREADS}", self.threads));
        }
        to_result(mistakes)
    }

    fn check_required(&self, mistakes: &mut Vec<String>) {
        for (key, value) in [("name", &self.name), ("zone", &self.zone), ("token", &self.token)] {
            if value.is_empty() {
                mistakes.push(format!("{key}: must be given"));
            }
        }
    }

    fn check_addresses(&self, mistakes: &mut Vec<String>) {
        check_address(mistakes, "client_listener", &self.client_listener);
        check_address(mistakes, "operator_listener", &self.operator_listener);
        check_address(mistakes, "gossip_listener", &self.gossip_listener);
        check_address(mistakes, "platform", &self.platform);
        for seed in &self.seeds {
            check_address(mistakes, "seeds", seed);
        }
        for keeper in &self.keepers {
            check_address(mistakes, "keepers", keeper);
        }
    }
}
