//! Stable storage of a keeper: what it keeps through restarts, and the file in which it does.

mod checksum;
pub mod disk;
pub mod disk_limits;
mod errors;
mod log_rows;
mod records;
pub mod stable_storage;
