//! One count of each tenant's operations over all nodes, without I/O (docs/design-quota.md).
//!
//! The tail of the keepers' chain has an account for each tenant: a token bucket. An operation takes one token. Nodes hold
//! a few tokens of each tenant that they serve, spend them without asking, and settle with the tail several times a
//! second: [`Ledger`] is the tail's side, [`Allowances`] a node's. While a node reaches no tail it borrows: it goes on at
//! the pace at which it was granted tokens lately, and settles afterwards.
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
mod ledger;
mod limit;
mod messages;
mod pace;
mod token_bucket;

pub use allowances::{Admission, AdmissionTotals, Allowances};
pub use ledger::Ledger;
pub use limit::{Limit, Tolerance};
pub use messages::{Claim, Grant, NodeUsage, Settlement, TenantUsage};
