//! The operator calls `push`, `history` and `rollback`.
use super::configuration_diff::configuration_diff;
use crate::Node;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_operator_api::configuration::{
    Difference, HistoryReply, MAX_IDEMPOTENCY_KEY_BYTES, PushReply, RetainedVersion, RollbackRequest,
    WriteOptions,
};
use quincehatch_runtime::seam;
use quincehatch_store::store::HistoryEntry;
use quincehatch_store::{Answer, Command};
use std::time::Duration;

/// Timeout of a push, which is answered once the configuration is in force on every node.
const PUSH_TIMEOUT: Duration = Duration::from_secs(12);
/// Timeout of reading the history from the store.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Author of a configuration that is pushed without one.
const DEFAULT_AUTHOR: &str = "operator";

/// Validates a configuration and writes it as a new version. A dry run returns only the difference.
pub async fn push(node: &Node, text: &str, options: &WriteOptions) -> Result<PushReply, Error> {
    let configuration = parse(node, text)?;
    let stored_text = configuration.to_stored_json();
    let in_force = node.feed_state.lock().unwrap().clone();
    let difference = Difference {
        diff: configuration_diff(&operator_json(&in_force.configuration_json), &configuration.to_json()),
        no_server_yet: placements_without_server(node, &configuration),
    };
    if options.dry_run == Some(true) {
        return Ok(PushReply::DryRun { valid: true, builds_on: in_force.configuration_version, difference });
    }
    let key = format!("push/{}", required_key(options)?);
    let command = Command::PushConfiguration {
        base: options.base.unwrap_or(in_force.configuration_version),
        text: stored_text,
        by: options.by.clone().unwrap_or_else(|| Name::from(DEFAULT_AUTHOR)),
    };
    match node.store_client.write(&key, command, PUSH_TIMEOUT).await? {
        Answer::Version(version) => Ok(PushReply::Applied { version, difference }),
        _ => Err(ErrorCode::ChainUnavailable.with_detail("unexpected answer of the store to a push")),
    }
}

fn parse(node: &Node, text: &str) -> Result<Configuration, Error> {
    let parsed = Configuration::parse(text);
    let in_force = node.proxy.registry.cluster_state().configuration.clone();
    match in_force {
        // A deliberate bug for the simulator's checks: an invalid configuration is accepted, as if it were the one in
        // force.
        Some(in_force) if seam::injected_bug("taken-invalid") => {
            Ok(parsed.unwrap_or_else(|_| in_force.as_ref().clone()))
        }
        _ => parsed,
    }
}

fn placements_without_server(node: &Node, configuration: &Configuration) -> Vec<String> {
    let mut names = Vec::new();
    for placement in &configuration.placements {
        if node.proxy.registry.servers_in_placement(configuration, placement).is_empty() {
            names.push(placement.name.clone());
        }
    }
    names
}

fn required_key(options: &WriteOptions) -> Result<&str, Error> {
    let key = options.idempotency_key.as_deref().unwrap_or_default();
    if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()) {
        return Ok(key);
    }
    Err(ErrorCode::Malformed.with_detail("a push needs a key of 1 to 128 bytes"))
}

/// Returns the versions of the configuration that the store retains.
pub async fn history(node: &Node) -> Result<HistoryReply, Error> {
    let store = node.store_client.read_store(READ_TIMEOUT).await?;
    Ok(HistoryReply { history: store.history.iter().map(retained_version).collect() })
}

fn retained_version(entry: &HistoryEntry) -> RetainedVersion {
    RetainedVersion {
        version: entry.version,
        by: entry.author.clone(),
        bytes: entry.text.len(),
        configuration: serde_json::from_str(&operator_json(&entry.text)).unwrap_or_default(),
    }
}

/// Converts a stored configuration to the keys that operators write; the store retains the keys of the first release.
/// Returns a text that is not a configuration unchanged.
fn operator_json(stored_text: &str) -> String {
    match Configuration::parse_stored(stored_text) {
        Ok(configuration) => configuration.to_json(),
        Err(_) => stored_text.to_owned(),
    }
}

/// Writes a new version with the content of an older one.
pub async fn rollback(node: &Node, request: &RollbackRequest) -> Result<PushReply, Error> {
    let store = node.store_client.read_store(READ_TIMEOUT).await?;
    let entry = store.history_entry(request.version);
    let entry = entry.ok_or_else(|| ErrorCode::NoSuchVersion.with_detail(request.version))?;
    push(node, &entry.text, &request.options).await
}
