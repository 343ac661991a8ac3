//! The configuration that an operator pushes: sets of servers, the routes of requests to them, and limits.
mod connections;
mod group;
mod health;
mod labels;
mod placement;
mod queue;
mod route;
mod tenant;
mod zone;

pub use connections::ConnectionLimits;
pub use group::Group;
pub use health::{HealthSettings, default_health_settings};
pub use labels::{DEPRECATED_ZONE_LABEL, ZONE_LABEL};
pub use placement::{Placement, Selector};
pub use queue::QueueLimits;
pub use route::{LOOKUP_CLASS, ORDER_CLASS, Route};
pub use tenant::{Tenant, limits, limits_in_stored};
pub use zone::Zone;

use crate::{deprecated_keys, document, schema_error};
// The derive of `Config` refers to the partial type of each section that is not a list.
use connections::PartialConnectionLimits;
use health::PartialHealthSettings;
use labels::EffectiveLabels;
use queue::PartialQueueLimits;
use quincehatch_core::{Error, ErrorCode, Labels};
use schematic::{Config, ConfigLoader};
use serde::{Deserialize, Serialize};

/// A complete configuration.
///
/// Operators write it with the names of the fields as keys. Its serde form is the stored one
/// ([`Configuration::to_stored_json`]), which keeps the keys of the first release.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Named sets of servers.
    #[setting(nested)]
    pub placements: Vec<Placement>,
    /// The routes of requests to placements; the first route that matches a request is used.
    #[setting(nested, rename = "routes")]
    #[serde(rename = "rules")]
    pub routes: Vec<Route>,
    /// The zones and their labels. Where any are listed, selectors may name no others.
    #[setting(nested, rename = "zones")]
    #[serde(rename = "districts")]
    pub zones: Vec<Zone>,
    /// Limits and replication of single server groups.
    #[setting(nested)]
    pub groups: Vec<Group>,
    /// When servers are ejected and how they return to service.
    #[setting(nested, rename = "health")]
    #[serde(rename = "judges")]
    pub health: HealthSettings,
    /// The largest numbers of connections from one node to one server.
    #[setting(nested, rename = "connections")]
    #[serde(rename = "links")]
    pub connections: ConnectionLimits,
    /// Limits on the queued requests and the sessions of a node.
    #[setting(nested, rename = "queue")]
    #[serde(rename = "holding")]
    pub queue: QueueLimits,
    /// The tenants that may use the routes. Clients need their keys if `require_keys` is set.
    #[setting(nested)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// Whether a client needs a tenant's key on every route that is not public.
    #[serde(default, skip_serializing_if = "is_false")]
    pub require_keys: bool,
}

/// Whether a flag has its default value. Such a flag is left out of the stored form, which earlier releases read.
fn is_false(value: &bool) -> bool {
    !value
}

impl Configuration {
    /// Reads TOML, JSON or Kubernetes-style objects and validates the configuration. The error lists everything
    /// invalid.
    pub fn parse(text: &str) -> Result<Configuration, Error> {
        let document = document::load(text)?;
        document.deprecated_keys.log("the configuration");
        Configuration::parse_document(&document.text, document.format)
    }

    /// Reads a configuration that was validated before it was stored: in the form that
    /// [`Configuration::to_stored_json`] writes, or as an operator wrote it.
    pub fn parse_stored(text: &str) -> Result<Configuration, Error> {
        serde_json::from_str(text).or_else(|_| Configuration::parse(text))
    }

    fn parse_document(text: &str, format: document::Format) -> Result<Configuration, Error> {
        let loaded = ConfigLoader::<Configuration>::new()
            .code(text, format.source_name())
            .and_then(|loader| loader.load())
            .map_err(|error| ErrorCode::ConfigurationInvalid.with_detail(schema_error::describe(&error)))?;
        let errors = loaded.config.validate();
        if errors.is_empty() {
            Ok(loaded.config)
        } else {
            Err(ErrorCode::ConfigurationInvalid.with_detail(errors.join("; ")))
        }
    }

    /// Returns the JSON in which keepers store a configuration and send it to nodes.
    ///
    /// Its keys are those of the first release, byte for byte: nodes of an earlier release in the same cluster read it,
    /// and a push that is repeated through another node must carry the same bytes to be recognized as the same push.
    pub fn to_stored_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the configuration as JSON with the keys that operators write.
    pub fn to_json(&self) -> String {
        let mut tree = serde_json::to_value(self).unwrap_or_default();
        // The stored form never has a key under both names, so there is nothing to report.
        let _ = deprecated_keys::rename_in_configuration(&mut tree);
        tree.to_string()
    }

    fn effective_labels<'labels>(&'labels self, own: &'labels Labels) -> EffectiveLabels<'labels> {
        let zone = labels::zone_name(own).and_then(|name| self.zone(name));
        EffectiveLabels::new(own, zone)
    }

    /// Returns the zone of that name, if it is listed.
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// Returns the settings of the server group of that name, if it is listed.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.name == name)
    }

    /// Returns the placement of that name, if it is listed.
    pub fn placement(&self, name: &str) -> Option<&Placement> {
        self.placements.iter().find(|placement| placement.name == name)
    }

    /// True when a server with these labels belongs to the placement.
    pub fn placement_includes(&self, placement: &Placement, labels: &Labels) -> bool {
        let labels = self.effective_labels(labels);
        if !labels.matches(&placement.select) {
            return false;
        }
        // An empty selector matches everything, but an empty exception excludes nothing.
        placement.except.is_empty() || !labels.matches(&placement.except)
    }

    /// Returns the first route for requests of this class with these labels.
    pub fn route_for(&self, class: &str, labels: &Labels) -> Option<&Route> {
        let labels = self.effective_labels(labels);
        self.routes.iter().find(|route| route.class == class && labels.matches(&route.when))
    }
}
