//! Clocks: the monotonic one that protocols use, and the wall clock.
use super::world::current_world;
use quincehatch_core::Millis;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The local monotonic clock: milliseconds since the process first asked, and never 0.
pub fn now() -> Millis {
    static START: OnceLock<Instant> = OnceLock::new();
    if let Some(world) = current_world() {
        return world.now();
    }
    START.get_or_init(Instant::now).elapsed().as_millis() as Millis + 1
}

/// Wall-clock time in milliseconds since the Unix epoch. It usually rises from one start of a process to the next;
/// nothing compares it across machines, as wall clocks differ and are stepped back.
pub fn wall_clock_ms() -> u64 {
    if let Some(world) = current_world() {
        return world.wall_clock_ms();
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |elapsed| elapsed.as_millis() as u64)
}
