//! `placements`: the servers and routes of each placement.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maps each label name to the accepted values; a server matches if its label has one of them.
pub type Selector = BTreeMap<String, Vec<String>>;

/// Asks for the placements of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementsRequest {}

impl OperatorCall for PlacementsRequest {
    const NAME: CallName = CallName::Placements;
    type Reply = PlacementsReply;
}

/// The placements of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementsReply {
    /// Version of the configuration.
    pub version: Version,
    /// All placements, in the order of the configuration.
    pub placements: Vec<PlacementReport>,
    /// Zones that the configuration lists.
    pub zones: Vec<ZoneReport>,
    /// Zones of known servers and nodes that are missing in the configuration and so contribute no labels.
    pub unknown_zones: Vec<Name>,
}

/// A placement with its servers and routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// Name of the placement.
    pub placement: String,
    /// Labels that its servers must have.
    pub select: Selector,
    /// Labels that exclude a server.
    pub except: Selector,
    /// Known servers that match the placement.
    pub servers: Vec<Name>,
    /// Routes that use the placement.
    pub routes: Vec<String>,
}

/// A zone and the labels that it contributes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub name: String,
    /// Labels that servers and requests in the zone have in addition to their own.
    pub labels: BTreeMap<String, String>,
}
