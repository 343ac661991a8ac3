//! Zones: the failure domains that servers and nodes stand in.
use schematic::Config;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A zone and its labels, which servers and requests there have beside their own.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// The name that servers and nodes give as their zone.
    pub name: String,
    /// Labels of everything in the zone.
    pub labels: BTreeMap<String, String>,
}
