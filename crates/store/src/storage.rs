//! Stable storage of a keeper: the records that survive restarts, and the database file that contains them.

mod checksum;
pub mod disk;
pub mod disk_limits;
mod errors;
mod log_rows;
mod records;
pub mod stable_storage;
