//! Keys of earlier releases: they are renamed to the current ones in the parsed document, before it is read.
//!
//! Selectors may still use the label `district` for `zone`; it is reported but not renamed, because a stored
//! configuration must keep its bytes (see [`crate::configuration::Configuration::to_stored_json`]).
use crate::configuration::DEPRECATED_ZONE_LABEL;
use serde_json::{Map, Value};
use std::fmt;

/// A key's name in earlier releases, and its name now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenamedKey {
    /// The deprecated name.
    pub old: &'static str,
    /// The name to use.
    pub new: &'static str,
}

const fn renamed(old: &'static str, new: &'static str) -> RenamedKey {
    RenamedKey { old, new }
}

const SECTIONS: &[RenamedKey] = &[
    renamed("rules", "routes"),
    renamed("districts", "zones"),
    renamed("judges", "health"),
    renamed("links", "connections"),
    renamed("holding", "queue"),
];
const ROUTE: &[RenamedKey] = &[
    renamed("long", "long_running"),
    renamed("fresh_ms", "max_staleness_ms"),
    renamed("aim_ms", "latency_target_ms"),
];
const GROUP: &[RenamedKey] = &[renamed("links", "connections")];
const HEALTH: &[RenamedKey] = &[
    renamed("return_after_ms", "probation_after_ms"),
    renamed("return_most_ms", "probation_after_max_ms"),
    renamed("trial_good", "probation_successes"),
    renamed("aside_at", "eject_at"),
];
const CONNECTIONS: &[RenamedKey] = &[renamed("lookup_share", "primary_lookup_percent")];
const QUEUE: &[RenamedKey] = &[renamed("most", "max_waiting"), renamed("sessions", "max_sessions")];
const NODE_SETTINGS: &[RenamedKey] = &[
    renamed("district", "zone"),
    renamed("door", "client_listener"),
    renamed("desk", "operator_listener"),
    renamed("mesh", "gossip_listener"),
];
const KEEPER_SETTINGS: &[RenamedKey] = &[renamed("data", "data_dir")];
const NODE_FLAGS: &[RenamedKey] = &[
    renamed("district", "zone"),
    renamed("door", "client-listener"),
    renamed("desk", "operator-listener"),
    renamed("mesh", "gossip-listener"),
];
const OBJECT_KINDS: &[RenamedKey] = &[
    renamed("Rule", "Route"),
    renamed("District", "Zone"),
    renamed("Judges", "Health"),
    renamed("Links", "Connections"),
    renamed("Holding", "Queue"),
];

/// The deprecated keys that a document uses, each once, with the current name of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeprecatedKeys {
    /// Entries like `routes[].fresh_ms (now max_staleness_ms)`.
    entries: Vec<String>,
}

impl DeprecatedKeys {
    /// True when the document uses no deprecated key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn add(&mut self, old_path: &str, new: &str) {
        let entry = format!("{old_path} (now {new})");
        if !self.entries.contains(&entry) {
            self.entries.push(entry);
        }
    }

    pub(crate) fn extend(&mut self, other: DeprecatedKeys) {
        for entry in other.entries {
            if !self.entries.contains(&entry) {
                self.entries.push(entry);
            }
        }
    }

    /// Returns one sentence that names the deprecated keys of `document`; `None` if there are none.
    pub fn notice(&self, document: &str) -> Option<String> {
        if self.is_empty() {
            return None;
        }
        Some(format!("{document} uses deprecated keys: {}", self.entries.join(", ")))
    }

    /// Writes the notice to the log.
    pub fn log(&self, document: &str) {
        if let Some(notice) = self.notice(document) {
            log::warn!(target: "config", "{notice}");
        }
    }
}

/// The error for a document that has a key under both of its names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyConflict {
    /// The path of the deprecated key, as in `routes[].fresh_ms`.
    pub old_path: String,
    /// The current name.
    pub new: &'static str,
}

impl fmt::Display for KeyConflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: is the deprecated name of {}, which is given too", self.old_path, self.new)
    }
}

impl std::error::Error for KeyConflict {}

/// Renames the keys of a parsed configuration.
pub fn rename_in_configuration(tree: &mut Value) -> Result<DeprecatedKeys, KeyConflict> {
    let mut found = DeprecatedKeys::default();
    rename_in_table(tree, "", SECTIONS, &mut found)?;
    rename_in_each(tree, "routes", ROUTE, &mut found)?;
    rename_in_each(tree, "groups", GROUP, &mut found)?;
    rename_in_section(tree, "health", HEALTH, &mut found)?;
    rename_in_section(tree, "connections", CONNECTIONS, &mut found)?;
    rename_in_section(tree, "queue", QUEUE, &mut found)?;
    report_zone_label(&tree["placements"], "placements", "select", &mut found);
    report_zone_label(&tree["placements"], "placements", "except", &mut found);
    report_zone_label(&tree["routes"], "routes", "when", &mut found);
    Ok(found)
}

/// Renames the keys of a parsed settings file of a node.
pub fn rename_in_node_settings(tree: &mut Value) -> Result<DeprecatedKeys, KeyConflict> {
    let mut found = DeprecatedKeys::default();
    rename_in_table(tree, "", NODE_SETTINGS, &mut found)?;
    Ok(found)
}

/// Renames the keys of a parsed settings file of a keeper.
pub fn rename_in_keeper_settings(tree: &mut Value) -> Result<DeprecatedKeys, KeyConflict> {
    let mut found = DeprecatedKeys::default();
    rename_in_table(tree, "", KEEPER_SETTINGS, &mut found)?;
    Ok(found)
}

/// Returns the current name of a node's command-line flag (without dashes), if `flag` is deprecated.
pub fn renamed_node_flag(flag: &str) -> Option<RenamedKey> {
    NODE_FLAGS.iter().copied().find(|key| key.old == flag)
}

/// Returns the current name of a kind of configuration object, if `kind` is deprecated.
pub(crate) fn renamed_object_kind(kind: &str) -> Option<RenamedKey> {
    OBJECT_KINDS.iter().copied().find(|key| key.old == kind)
}

fn rename_in_each(
    tree: &mut Value,
    list: &str,
    keys: &[RenamedKey],
    found: &mut DeprecatedKeys,
) -> Result<(), KeyConflict> {
    let items = tree.get_mut(list).and_then(Value::as_array_mut);
    for item in items.into_iter().flatten() {
        rename_in_table(item, &format!("{list}[]."), keys, found)?;
    }
    Ok(())
}

fn rename_in_section(
    tree: &mut Value,
    section: &str,
    keys: &[RenamedKey],
    found: &mut DeprecatedKeys,
) -> Result<(), KeyConflict> {
    match tree.get_mut(section) {
        Some(table) => rename_in_table(table, &format!("{section}."), keys, found),
        None => Ok(()),
    }
}

/// Renames the keys of one table. A value that is not a table is left for the reader to reject.
fn rename_in_table(
    table: &mut Value,
    path: &str,
    keys: &[RenamedKey],
    found: &mut DeprecatedKeys,
) -> Result<(), KeyConflict> {
    let Some(table) = table.as_object_mut() else {
        return Ok(());
    };
    for key in keys {
        rename_key(table, path, *key, found)?;
    }
    Ok(())
}

fn rename_key(
    table: &mut Map<String, Value>,
    path: &str,
    key: RenamedKey,
    found: &mut DeprecatedKeys,
) -> Result<(), KeyConflict> {
    let Some(value) = table.remove(key.old) else {
        return Ok(());
    };
    let old_path = format!("{path}{}", key.old);
    if table.contains_key(key.new) {
        return Err(KeyConflict { old_path, new: key.new });
    }
    found.add(&old_path, key.new);
    table.insert(key.new.to_owned(), value);
    Ok(())
}

fn report_zone_label(list: &Value, name: &str, selector: &str, found: &mut DeprecatedKeys) {
    for item in list.as_array().into_iter().flatten() {
        if item[selector].get(DEPRECATED_ZONE_LABEL).is_some() {
            found.add(
                &format!("{name}[].{selector}.{DEPRECATED_ZONE_LABEL}"),
                crate::configuration::ZONE_LABEL,
            );
        }
    }
}
