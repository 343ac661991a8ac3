//! Checks of tenants and their keys.
use super::validation_errors::ValidationErrors;
use crate::configuration::{Configuration, Tenant};
use crate::key_digest::KeyDigest;
use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;

const RATE_PER_S: RangeInclusive<u64> = 1..=10_000_000;
const BURST: RangeInclusive<u64> = 0..=10_000_000;

pub(super) fn check(configuration: &Configuration, errors: &mut ValidationErrors) {
    let mut names = BTreeSet::new();
    let mut tenants_by_digest = HashMap::new();
    for (index, tenant) in configuration.tenants.iter().enumerate() {
        let path = format!("tenants[{index}]");
        errors.check_name(&format!("{path}.name"), &tenant.name, &mut names);
        if tenant.name.chars().any(|char| char.is_whitespace() || char.is_control()) {
            errors.add(format!("{path}.name: blanks and control characters cannot be sent to servers"));
        }
        if let Some(rate) = tenant.rate_per_s {
            errors.check_range(&format!("{path}.rate_per_s"), rate, RATE_PER_S);
        }
        errors.check_range(&format!("{path}.burst"), tenant.burst, BURST);
        check_keys(&path, index, tenant, &mut tenants_by_digest, errors);
    }
}

/// Checks that each key belongs to only one tenant. The error does not show the digest, because operators copy errors
/// into tickets.
fn check_keys(
    path: &str,
    index: usize,
    tenant: &Tenant,
    tenants_by_digest: &mut HashMap<KeyDigest, usize>,
    errors: &mut ValidationErrors,
) {
    for (key_index, text) in tenant.keys.iter().enumerate() {
        let Ok(digest) = text.parse::<KeyDigest>() else {
            errors.add(format!("{path}.keys[{key_index}]: not a digest as key-digest prints it"));
            continue;
        };
        if tenants_by_digest.insert(digest, index).is_some_and(|other_index| other_index != index) {
            errors.add(format!("{path}.keys[{key_index}]: another tenant has the same key"));
        }
    }
}
