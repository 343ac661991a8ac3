//! Simulated held fleets (§3.6, §4.10, §5.5, §9.1): keepers and nodes whole, over a group of servers that are met over
//! held links and know neither tries nor fences, a promoter, origins on sessions, faults by the seed, and a checker by
//! call and journal.
mod book;
mod conn;
mod exec;
mod faults;
mod laid;
mod operator;
mod origin;
mod ports;
mod power;
mod promote;
mod replicate;
mod run;
mod server;
mod site;
mod trip;

pub use run::{DirectReport, DirectSimOptions, run_seed};
