//! Renders replies as human-readable tables and sentences.
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

/// A reply that can be rendered as human-readable text.
pub trait Table {
    /// Renders the reply as lines of text, each terminated by a newline.
    fn to_table(&self) -> String;
}
