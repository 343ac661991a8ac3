//! Clocks: the monotonic clock that the protocols use, and the wall clock.
use super::world::current_world;
use quincehatch_core::Millis;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Returns the time of the local monotonic clock in milliseconds. The clock starts at 1 with the first call in the
/// process, so the time is never 0.
pub fn now() -> Millis {
    static START: OnceLock<Instant> = OnceLock::new();
    if let Some(world) = current_world() {
        return world.now();
    }
    START.get_or_init(Instant::now).elapsed().as_millis() as Millis + 1
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It usually increases from one start of a process
/// to the next. It is never compared across machines, as wall clocks differ and are stepped back.
pub fn wall_clock_ms() -> u64 {
    if let Some(world) = current_world() {
        return world.wall_clock_ms();
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |elapsed| elapsed.as_millis() as u64)
}
