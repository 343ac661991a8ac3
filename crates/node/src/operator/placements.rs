//! The operator call `placements`.
use crate::Node;
use quincehatch_config::configuration::{Configuration, Placement, Zone};
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_operator_api::placements::{PlacementReport, PlacementsReply, ZoneReport};
use std::collections::BTreeSet;

/// Returns the placements of the configuration in force, with their servers and routes.
pub fn placements(node: &Node) -> Result<PlacementsReply, Error> {
    let cluster_state = node.proxy.registry.cluster_state();
    let configuration =
        cluster_state.configuration.clone().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
    let placements = configuration.placements.iter();
    Ok(PlacementsReply {
        version: cluster_state.version,
        placements: placements.map(|placement| placement_report(node, &configuration, placement)).collect(),
        zones: configuration.zones.iter().map(zone_report).collect(),
        unknown_zones: unknown_zones(node, &configuration),
    })
}

fn placement_report(node: &Node, configuration: &Configuration, placement: &Placement) -> PlacementReport {
    let servers = node.proxy.registry.servers_in_placement(configuration, placement);
    let routes = configuration.routes.iter().filter(|route| route.placement == placement.name);
    PlacementReport {
        placement: placement.name.clone(),
        select: placement.select.clone(),
        except: placement.except.clone(),
        servers: servers.iter().map(|server| server.name.clone()).collect(),
        routes: routes.map(|route| route.name.clone()).collect(),
    }
}

fn zone_report(zone: &Zone) -> ZoneReport {
    ZoneReport { name: zone.name.clone(), labels: zone.labels.clone() }
}

/// Returns the zones of known servers and nodes that the configuration does not list. If a configuration lists zones,
/// an unlisted zone has no labels, so selectors may miss its servers and nodes.
fn unknown_zones(node: &Node, configuration: &Configuration) -> Vec<Name> {
    if configuration.zones.is_empty() {
        return Vec::new();
    }
    let mut zones: BTreeSet<Name> =
        node.proxy.registry.servers().iter().map(|server| server.zone()).collect();
    let records = node.gossip.membership.lock().unwrap().member_records();
    zones.extend(records.into_iter().map(|record| record.zone));
    zones.insert(node.proxy.settings.zone.as_str().into());
    zones.retain(|zone| configuration.zone(zone).is_none());
    zones.into_iter().collect()
}
