//! Bounds on how far behind a read may be, proved without clocks that are shared between machines.
pub mod primary_positions;

pub use primary_positions::{MARGIN, PrimaryPositions};
