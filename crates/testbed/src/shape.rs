//! Named shapes of fleets.
/// Number of servers of a group.
pub const REPLICAS: usize = 3;
/// Largest number of nodes of a shape `nodes:N`.
const MAX_NODES: usize = 64;
/// Deadline of lookups, and the longer one of the shape `lensbridge`.
const LOOKUP_MS: u64 = 3_000;
const LONG_LOOKUP_MS: u64 = 5_000;

/// The size and layout of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Its name.
    pub name: String,
    /// Number of zones.
    pub zones: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of keepers.
    pub keepers: usize,
    /// Number of groups of servers.
    pub groups: usize,
    /// Number of servers of each group.
    pub replicas: usize,
    /// Addresses are allocated from the port after this one.
    pub port: u16,
}

impl Shape {
    /// Returns the shape with that name; `nodes:N` has N nodes.
    pub fn named(name: &str, port: u16) -> Option<Shape> {
        let (zones, nodes, keepers, groups) = match name {
            "thin" => (1, 1, 1, 1),
            "small" => (2, 3, 3, 1),
            "scripwell" => (4, 7, 4, 3),
            "lensbridge" => (3, 6, 3, 3),
            other => {
                let nodes = other.strip_prefix("nodes:")?.parse().ok()?;
                let is_allowed = (1..=MAX_NODES).contains(&nodes);
                is_allowed.then_some((3, nodes, 3, 1))?
            }
        };
        Some(Shape { name: name.into(), zones, nodes, keepers, groups, replicas: REPLICAS, port })
    }

    /// Returns the deadline of a lookup in milliseconds.
    pub fn lookup_ms(&self) -> u64 {
        if self.name == "lensbridge" { LONG_LOOKUP_MS } else { LOOKUP_MS }
    }
}
