//! The local monotonic clock.
use quincehatch_core::Millis;

/// The local monotonic clock, in milliseconds since the process began (§2.2).
pub fn now() -> Millis {
    use std::sync::OnceLock;
    if let Some(w) = crate::seam::current_world() {
        return w.now();
    }
    static T0: OnceLock<std::time::Instant> = OnceLock::new();
    T0.get_or_init(std::time::Instant::now).elapsed().as_millis() as Millis + 1
}
