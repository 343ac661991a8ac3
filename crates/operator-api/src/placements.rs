//! `placements`: which servers and routes each placement has.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// For each label, the values of which a server must have one.
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
    /// Zones of known servers and nodes that the configuration does not list, so that they have no labels there.
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
    /// Known servers that match.
    pub servers: Vec<Name>,
    /// Routes that use the placement.
    pub routes: Vec<String>,
}

/// A zone with the labels of everything in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub name: String,
    /// Labels that servers and requests there have beside their own.
    pub labels: BTreeMap<String, String>,
}
