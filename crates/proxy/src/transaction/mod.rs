//! Clients' transactions. A transaction runs one request at a time, and ends on the connection on which it began.
pub mod expiry;
pub mod open;
pub mod operations;

pub use expiry::expire_transactions;
pub use open::OpenTransaction;
