//! Numbers that tell one start of a process from every other.
use super::world::current_world;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::sync::OnceLock;

/// The incarnation of this process: drawn at random once, as a wall clock may be stepped back. Incarnations have no
/// order.
pub fn incarnation() -> u64 {
    static DRAWN: OnceLock<u64> = OnceLock::new();
    current_world().map_or_else(|| *DRAWN.get_or_init(draw_incarnation), |world| world.incarnation())
}

/// A new incarnation, for a component that is restarted within the process.
pub fn draw_incarnation() -> u64 {
    // Each `RandomState` has keys of its own, seeded by the operating system.
    let draw = || RandomState::new().build_hasher().finish();
    current_world().map_or_else(draw, |world| world.incarnation())
}
