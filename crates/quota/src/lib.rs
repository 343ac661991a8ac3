//! Limits on tenants' operations, enforced over all nodes together, without I/O (docs/design-quota.md).
//!
//! The tail of the keepers' replication chain has an account for each tenant: a token bucket. Each operation spends one
//! token. A node holds a few tokens of each tenant that it serves, spends them without a request to the tail, and
//! settles with the tail several times a second. [`Ledger`] is the tail's side of a settlement, [`Allowances`] the
//! node's side. While a node cannot reach the tail it runs operations on credit: it continues at the rate at which it
//! recently ran operations, and settles afterwards.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

mod account;
mod allowance;
mod allowances;
mod average_rate;
mod ledger;
mod limit;
mod messages;
mod token_bucket;

pub use allowances::{Admission, AdmissionTotals, Allowances};
pub use ledger::Ledger;
pub use limit::{Limit, Tolerance};
pub use messages::{Claim, Grant, NodeUsage, Settlement, TenantUsage};
