//! Placements: named sets of servers.
use schematic::Config;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The required values of labels: the value of each key must be one of those listed.
pub type Selector = BTreeMap<String, Vec<String>>;

/// A named set of servers, chosen by labels.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The name that routes refer to.
    pub name: String,
    /// Servers with these labels belong to the placement.
    pub select: Selector,
    /// Servers with these labels are excluded from the placement.
    pub except: Selector,
}
