//! Replies as tables and sentences for people.
mod configuration;
mod explain;
mod layout;
mod maintenance;
mod members;
mod nodes;
mod placements;
mod servers;
mod status;
mod tenants;
#[cfg(test)]
mod tests;

/// A reply that can be shown to people.
pub trait Table {
    /// The reply as lines of text, each ended.
    fn to_table(&self) -> String;
}
