//! Checks of tenants and their keys.
use super::mistakes::Mistakes;
use crate::configuration::{Configuration, Tenant};
use crate::key_digest::KeyDigest;
use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;

const RATE_PER_S: RangeInclusive<u64> = 1..=10_000_000;
const BURST: RangeInclusive<u64> = 0..=10_000_000;

pub(super) fn check(configuration: &Configuration, mistakes: &mut Mistakes) {
    let mut names = BTreeSet::new();
    let mut holders = HashMap::new();
    for (index, tenant) in configuration.tenants.iter().enumerate() {
        let path = format!("tenants[{index}]");
        mistakes.check_name(&format!("{path}.name"), &tenant.name, &mut names);
        if tenant.name.chars().any(|char| char.is_whitespace() || char.is_control()) {
            mistakes.add(format!("{path}.name: blanks and control characters cannot be sent to servers"));
        }
        if let Some(rate) = tenant.rate_per_s {
            mistakes.check_range(&format!("{path}.rate_per_s"), rate, RATE_PER_S);
        }
        mistakes.check_range(&format!("{path}.burst"), tenant.burst, BURST);
        check_keys(&path, index, tenant, &mut holders, mistakes);
    }
}

/// A key stands for one tenant. The mistake does not show the digest: operators copy mistakes into tickets.
fn check_keys(
    path: &str,
    index: usize,
    tenant: &Tenant,
    holders: &mut HashMap<KeyDigest, usize>,
    mistakes: &mut Mistakes,
) {
    for (key_index, text) in tenant.keys.iter().enumerate() {
        let Ok(digest) = text.parse::<KeyDigest>() else {
            mistakes.add(format!("{path}.keys[{key_index}]: not a digest as key-digest prints it"));
            continue;
        };
        if holders.insert(digest, index).is_some_and(|holder| holder != index) {
            mistakes.add(format!("{path}.keys[{key_index}]: another tenant has the same key"));
        }
    }
}
