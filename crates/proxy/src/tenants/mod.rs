//! Tenants: whose key a client has given, and how much its tenant may run.
mod admission;
mod client_key;
mod directory;

pub use admission::{OperationAdmission, QuotaGate};
pub use client_key::ClientKey;
pub use directory::TenantDirectory;
