//! Sessions over the servers' own protocol: a session lives as long as its client's connection, and a transaction uses
//! one server connection from its first statement to its end.
//!
//! From the bottom up: `command`, `response` and `route` define data types; `connection` and `pool` do not depend on
//! health or routing; `monitored_call`, `connection_setup` and `check_out` add both; `statement`, `replies` and
//! `acknowledgement` are shared by the ways in which a statement can run: `primary_statement`, `replica_read` (both hedged by
//! `single_statement`) and `transaction`, which `begin` opens. `session` combines them.
mod acknowledgement;
mod begin;
pub mod check_out;
pub mod command;
pub mod connection;
mod connection_setup;
mod monitored_call;
mod open_counts;
mod open_throttle;
pub mod pool;
mod primary_statement;
mod proxy;
mod replica_read;
mod replies;
pub mod response;
mod retry;
pub mod route;
mod server_choice;
mod session;
pub mod session_memory;
mod session_setup;
mod session_transaction;
mod single_statement;
mod statement;
mod statement_counts;
mod transaction;
mod waiters;

pub use command::{SessionCommand, SessionRequest};
pub use open_counts::{OpenCounts, OpenTotals};
pub use proxy::{ConnectionShare, DirectProxy};
pub use response::{StatementError, StatementResponse, StatementResult};
pub use route::ResolvedRoute;
pub use session::DirectSession;
pub use statement_counts::{StatementCounts, StatementOutcome};
