//! Settings of a node.
use super::{check_address, to_result};
use quincehatch_core::Error;
use schematic::Config;
use serde::{Deserialize, Serialize};

/// The largest number of seeds, the nodes from which a node learns the first members of its cluster.
const MAX_SEEDS: usize = 3;
const MAX_THREADS: usize = 64;

/// The settings that a node reads at its start; all addresses are `ip:port`.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSettings {
    /// The node's name, unique in the cluster.
    pub name: String,
    /// The zone in which the node runs.
    pub zone: String,
    /// Address of the HTTP listener for clients and the platform.
    pub client_listener: String,
    /// Address of the HTTP listener for heartbeats of servers and calls of operators.
    pub operator_listener: String,
    /// Address of the listener for calls of other processes of the cluster (borsh).
    pub gossip_listener: String,
    /// Gossip addresses of up to three other nodes.
    pub seeds: Vec<String>,
    /// Addresses of the keepers.
    pub keepers: Vec<String>,
    /// Address at which the platform accepts requests for promotions (HTTP).
    pub platform: String,
    /// The token that operators' calls must carry.
    pub token: String,
    /// The log level, as in `info` or `debug,chain=trace`.
    #[setting(default = "info")]
    pub log: String,
    /// Number of worker threads.
    #[setting(default = 2)]
    pub threads: usize,
}

impl NodeSettings {
    /// Checks the settings; the error lists everything invalid.
    pub fn validate(&self) -> Result<(), Error> {
        let mut errors = Vec::new();
        self.check_required(&mut errors);
        self.check_addresses(&mut errors);
        if self.keepers.is_empty() {
            errors.push("keepers: at least one is needed".into());
        }
        if self.seeds.len() > MAX_SEEDS {
            errors.push("seeds: at most three".into());
        }
        if !(1..=MAX_THREADS).contains(&self.threads) {
            errors.push(format!("threads: {} is outside 1 to {MAX_THREADS}", self.threads));
        }
        to_result(errors)
    }

    fn check_required(&self, errors: &mut Vec<String>) {
        for (key, value) in [("name", &self.name), ("zone", &self.zone), ("token", &self.token)] {
            if value.is_empty() {
                errors.push(format!("{key}: must be given"));
            }
        }
    }

    fn check_addresses(&self, errors: &mut Vec<String>) {
        check_address(errors, "client_listener", &self.client_listener);
        check_address(errors, "operator_listener", &self.operator_listener);
        check_address(errors, "gossip_listener", &self.gossip_listener);
        check_address(errors, "platform", &self.platform);
        for seed in &self.seeds {
            check_address(errors, "seeds", seed);
        }
        for keeper in &self.keepers {
            check_address(errors, "keepers", keeper);
        }
    }
}
