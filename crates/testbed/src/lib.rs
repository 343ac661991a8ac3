//! The lab (§9): stand-ins, fault relay, fleet runner, load, history checker, simulator.
pub mod aftermath;
mod calls;
pub mod db;
mod db_repl;
pub mod fleet;
pub mod history;
pub mod load;
pub mod platform;
pub mod pushing;
pub mod relay;
pub mod running;
pub mod scenario;
pub mod script;
mod scripts;
pub mod stand_in;
pub mod stmt;
