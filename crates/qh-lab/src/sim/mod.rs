//! The seeded simulator (§9.1): virtual time, one thread, and the very code that the daemons, the stand-ins and the
//! callers run. A seed replays exactly.
pub mod core;
pub mod faults;
pub mod keeper;
pub mod net;
pub mod procs;
pub mod run;

pub use run::{Report, Sim, run};
