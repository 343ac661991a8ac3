//! Zones: the failure domains in which servers and nodes run.
use schematic::Config;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A zone, and the labels that servers and requests in it have in addition to their own.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// The name that servers and nodes give as their zone.
    pub name: String,
    /// Labels of everything in the zone.
    pub labels: BTreeMap<String, String>,
}
