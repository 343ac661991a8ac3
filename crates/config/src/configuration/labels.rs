//! The labels that selectors are matched against: those of the server or the request, then those of its zone.
use super::{Selector, Zone};
use quincehatch_core::Labels;

/// The label that names the zone of a server or of the node that took a request.
pub const ZONE_LABEL: &str = "zone";
/// The name that this label had in earlier releases. Where only one of the two labels is given, it is used for both.
pub const DEPRECATED_ZONE_LABEL: &str = "district";

/// Returns the name of the zone from the labels of a server or a request.
///
/// The deprecated label has precedence: where both are given, `zone` may be the operator's own label, from releases in
/// which it had no special meaning.
pub(super) fn zone_name(own: &Labels) -> Option<&str> {
    let label = own.get(DEPRECATED_ZONE_LABEL).or_else(|| own.get(ZONE_LABEL))?;
    Some(label.as_str())
}

fn other_zone_label(key: &str) -> Option<&'static str> {
    match key {
        ZONE_LABEL => Some(DEPRECATED_ZONE_LABEL),
        DEPRECATED_ZONE_LABEL => Some(ZONE_LABEL),
        _ => None,
    }
}

/// The labels of a server or a request. Its own labels have precedence over those of its zone.
pub(super) struct EffectiveLabels<'labels> {
    own: &'labels Labels,
    zone: Option<&'labels Zone>,
}

impl<'labels> EffectiveLabels<'labels> {
    pub(super) fn new(own: &'labels Labels, zone: Option<&'labels Zone>) -> Self {
        EffectiveLabels { own, zone }
    }

    fn get(&self, key: &str) -> Option<&str> {
        if let Some(value) = self.own.get(key) {
            return Some(value.as_str());
        }
        let from_zone = self.zone.and_then(|zone| zone.labels.get(key));
        if let Some(value) = from_zone {
            return Some(value.as_str());
        }
        let other_key = other_zone_label(key)?;
        self.own.get(other_key).map(|value| value.as_str())
    }

    /// True when every key of the selector is present with one of its values.
    pub(super) fn matches(&self, selector: &Selector) -> bool {
        selector.iter().all(|(key, allowed)| {
            let value = self.get(key);
            value.is_some_and(|value| allowed.iter().any(|allowed_value| allowed_value == value))
        })
    }
}
