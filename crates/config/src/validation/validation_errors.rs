//! The list of validation errors, and the checks that several sections share.
use crate::configuration::Selector;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

/// Longest name, label or label value, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Labels that would identify a single host.
const HOST_LABELS: [&str; 5] = ["host", "addr", "address", "ip", "server"];

/// The errors found so far.
#[derive(Default)]
pub(super) struct ValidationErrors(Vec<String>);

impl ValidationErrors {
    pub(super) fn add(&mut self, error: impl Into<String>) {
        self.0.push(error.into());
    }

    pub(super) fn into_list(self) -> Vec<String> {
        self.0
    }

    pub(super) fn check_range(&mut self, path: &str, value: u64, allowed: RangeInclusive<u64>) {
        if !allowed.contains(&value) {
            self.add(format!("{path}: {value} is outside {} to {}", allowed.start(), allowed.end()));
        }
    }

    /// Checks the name of an entry in a list; `seen` contains the names of the entries before it.
    pub(super) fn check_name<'names>(
        &mut self,
        path: &str,
        name: &'names str,
        seen: &mut BTreeSet<&'names str>,
    ) {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            self.add(format!("{path}: a name of 1 to {MAX_NAME_BYTES} bytes is needed"));
        }
        if !seen.insert(name) {
            self.add(format!("{path}: {name:?} is used twice"));
        }
    }

    /// Checks the labels of a selector, which cannot select hosts by name or address.
    pub(super) fn check_selector(&mut self, path: &str, selector: &Selector) {
        for (key, values) in selector {
            if HOST_LABELS.contains(&key.as_str()) {
                self.add(format!("{path}.{key}: servers are chosen by labels, not by name or address"));
            }
            if values.is_empty() {
                self.add(format!("{path}.{key}: matches nothing, as no value is listed"));
            }
            for value in values.iter().filter(|value| is_address(value)) {
                self.add(format!("{path}.{key}: {value:?} is an address; servers are chosen by labels"));
            }
        }
    }
}

fn is_address(value: &str) -> bool {
    let host = value.rsplit_once(':').map_or(value, |(host, _port)| host);
    host.parse::<IpAddr>().is_ok() || value.parse::<SocketAddr>().is_ok()
}
