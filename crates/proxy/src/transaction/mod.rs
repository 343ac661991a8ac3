//! Clients' transactions: one connection, one request at a time, ended on the connection they began on.
pub mod expiry;
pub mod open;
pub mod operations;

pub use expiry::expire_transactions;
pub use open::OpenTransaction;
