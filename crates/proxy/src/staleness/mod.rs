//! Proves bounds on the staleness of reads without clocks that are shared between machines.
pub mod primary_positions;

pub use primary_positions::{MARGIN, PrimaryPositions};
