//! Incarnations: numbers that distinguish one start of a process from every other.
use super::world::current_world;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::sync::OnceLock;

/// Returns the incarnation of this process. It is drawn at random once, because a wall clock may be stepped back.
/// Incarnations have no order.
pub fn incarnation() -> u64 {
    static INCARNATION: OnceLock<u64> = OnceLock::new();
    current_world().map_or_else(|| *INCARNATION.get_or_init(draw_incarnation), |world| world.incarnation())
}

/// Draws a new incarnation, for a component that is restarted within the process.
pub fn draw_incarnation() -> u64 {
    // Each `RandomState` has its own keys, seeded by the operating system.
    let draw = || RandomState::new().build_hasher().finish();
    current_world().map_or_else(draw, |world| world.incarnation())
}
