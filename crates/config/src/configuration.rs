//! The blueprint: placements, rules, judges, links, holding (§7). Reading is `schematic`'s; whole checks ours.
use quincehatch_core::{Error, ErrorCode, Labels};
use schematic::{Config, ConfigLoader};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Which labels must hold which values: each key's value must be one of those listed (§7.1).
pub type Selector = BTreeMap<String, Vec<String>>;

/// A named group of servers, chosen by labels.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    pub name: String,
    pub select: Selector,
    /// Servers these labels match are left out.
    pub except: Selector,
}

/// A district and its labels: servers and visits there have them beside their own (§7.1).
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    pub name: String,
    pub labels: BTreeMap<String, String>,
}

/// What a visit is to be done with.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// `order` or `lookup`.
    pub class: String,
    /// Selector over the visit's labels.
    pub when: Selector,
    pub placement: String,
    #[setting(default = 1000)]
    pub timeout_ms: u64,
    pub query_timeout_ms: Option<u64>,
    /// The rule's statements are known to run long: a reply is owed only at the query timeout (§4.5).
    pub long_running: bool,
    /// How far behind a lookup may be.
    #[setting(default = 1500)]
    pub max_staleness_ms: u64,
    /// The time the rule's visits aim at: what cannot be begun well within it is declined at once (§4.10).
    pub latency_target_ms: Option<u64>,
    /// Of the visits that wait, those with the lowest number go first.
    #[setting(default = 1)]
    pub priority: u64,
}

/// What a group's servers bear and keep (§4.10, §5.5).
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    pub name: String,
    /// Links that each of its servers takes from all nodes together.
    #[setting(default = 64)]
    pub connections: u64,
    /// A commit is acknowledged once so many replicas received it; none: once a majority did.
    pub sync_replicas: Option<u64>,
}

/// How the judges weigh and wait (§4.5).
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthSettings {
    #[setting(default = 30000)]
    pub query_timeout_ms: u64,
    #[setting(default = 30000)]
    pub keepalive_idle_ms: u64,
    #[setting(default = 4000)]
    pub user_timeout_ms: u64,
    #[setting(default = 30000)]
    pub probation_after_ms: u64,
    #[setting(default = 240000)]
    pub probation_after_max_ms: u64,
    /// Good origin lookups that end a trial.
    #[setting(default = 3)]
    pub probation_successes: u64,
    #[setting(default = 100)]
    pub reset_weight: u64,
    #[setting(default = 100)]
    pub silent_weight: u64,
    #[setting(default = 100)]
    pub overdue_weight: u64,
    /// A visit past its rule's timeout while other links answer.
    #[setting(default = 20)]
    pub late_weight: u64,
    /// Evidence at which a replica is set aside.
    #[setting(default = 100)]
    pub eject_at: u64,
    /// How long a piece of evidence counts.
    #[setting(default = 10000)]
    pub evidence_ms: u64,
}

#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    #[setting(default = 16)]
    pub per_replica: u64,
    #[setting(default = 64)]
    pub per_primary: u64,
    /// Share of the primary's links, in percent, that lookups may take when every replica is set aside.
    #[setting(default = 25)]
    pub primary_lookup_percent: u64,
}

#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueLimits {
    #[setting(default = 512)]
    pub max_waiting: u64,
    #[setting(default = 4096)]
    pub max_sessions: u64,
    /// Longest a transaction may idle between steps.
    #[setting(default = 10000)]
    pub txn_idle_ms: u64,
}

#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    #[setting(nested)]
    pub placements: Vec<Placement>,
    #[setting(nested)]
    pub routes: Vec<Route>,
    /// Where any are listed, all are.
    #[setting(nested)]
    pub zones: Vec<Zone>,
    #[setting(nested)]
    pub groups: Vec<Group>,
    #[setting(nested)]
    pub health: HealthSettings,
    #[setting(nested)]
    pub connections: ConnectionLimits,
    #[setting(nested)]
    pub queue: QueueLimits,
}

/// The judges' starting values, for a node that has no blueprint yet.
pub fn default_health_settings() -> &'static HealthSettings {
    static J: std::sync::OnceLock<HealthSettings> = std::sync::OnceLock::new();
    J.get_or_init(|| {
        ConfigLoader::<HealthSettings>::new()
            .load()
            .map(|r| r.config)
            .unwrap_or_else(|e| panic!("no defaults: {e}"))
    })
}

/// Labels of a server or a visit, and behind them those of its district.
struct EffectiveLabels<'a> {
    own: &'a Labels,
    district: Option<&'a Zone>,
}

impl EffectiveLabels<'_> {
    fn get(&self, k: &str) -> Option<&str> {
        let behind = || self.district.and_then(|d| d.labels.get(k)).map(String::as_str);
        self.own.get(k).map(|v| v.as_str()).or_else(behind)
    }
    /// True when every key of the selector is held with one of its values.
    fn matches(&self, sel: &Selector) -> bool {
        sel.iter().all(|(k, vs)| self.get(k).is_some_and(|v| vs.iter().any(|x| x == v)))
    }
}

impl Configuration {
    fn effective_labels<'a>(&'a self, own: &'a Labels) -> EffectiveLabels<'a> {
        EffectiveLabels { own, district: own.get("district").and_then(|d| self.zone(d)) }
    }
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.iter().find(|d| d.name == name)
    }
    /// Is a server with these labels in the placement?
    pub fn placement_includes(&self, p: &Placement, labels: &Labels) -> bool {
        let w = self.effective_labels(labels);
        w.matches(&p.select) && (p.except.is_empty() || !w.matches(&p.except))
    }
    pub fn route_for(&self, class: &str, labels: &Labels) -> Option<&Route> {
        let w = self.effective_labels(labels);
        self.routes.iter().find(|r| r.class == class && w.matches(&r.when))
    }
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.name == name)
    }
    pub fn placement(&self, name: &str) -> Option<&Placement> {
        self.placements.iter().find(|p| p.name == name)
    }
    /// Reads TOML, JSON or Kubernetes-style objects and checks the whole; every mistake is listed (§7.3).
    pub fn parse(text: &str) -> Result<Configuration, Error> {
        if crate::objects::are_objects(text) {
            return crate::objects::to_json(text).and_then(|t| Configuration::parse_document(&t));
        }
        Configuration::parse_document(text)
    }

    /// Reads what was checked before it was kept: as [`Blueprint::to_json`] wrote it, or as an operator did.
    pub fn parse_stored(text: &str) -> Result<Configuration, Error> {
        serde_json::from_str(text).or_else(|_| Configuration::parse(text))
    }

    fn parse_document(text: &str) -> Result<Configuration, Error> {
        let json = text.trim_start().starts_with('{');
        let invalid = |e: &dyn std::fmt::Display| ErrorCode::ConfigurationInvalid.with_detail(e);
        let bp = ConfigLoader::<Configuration>::new()
            .code(text, if json { "blueprint.json" } else { "blueprint.toml" })
            .and_then(|l| l.load())
            .map_err(|e| invalid(&crate::settings::plain(&e)))?
            .config;
        let wrong = bp.validate();
        if wrong.is_empty() { Ok(bp) } else { Err(invalid(&wrong.join("; "))) }
    }
    pub fn to_stored_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
