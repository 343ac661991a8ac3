//! Sessions over the servers' own protocol: a session lives as long as its client's connection, and a transaction keeps
//! one server connection from its first statement to its end.
//!
//! From the bottom up: `command`, `response` and `route` are data; `connection` and `pool` know no health and no
//! routing; `monitored_call`, `connection_setup` and `check_out` add these; `statement` and `replies` are shared by the
//! ways a statement can run: `primary_statement`, `replica_read` (both hedged by `single_statement`) and `transaction`,
//! which `begin` opens. `session` ties them together.
mod begin;
pub mod check_out;
pub mod command;
pub mod connection;
mod connection_setup;
mod monitored_call;
mod open_counts;
mod open_gate;
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
