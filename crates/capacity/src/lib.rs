//! Measurements of `quincehatch-lab bench capacity` (docs/CAPACITY.md). They use hollow nodes, which run the production
//! control code without client traffic, and single components at sizes for which one machine cannot run a whole
//! cluster.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod components;
pub mod cpu;
pub mod fit;
pub mod frame_counts;
pub mod hollow_fleet;
pub mod idle_sessions;
pub mod samples;
pub mod stub_servers;
pub mod tail_keeper;
