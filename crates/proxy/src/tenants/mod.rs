//! Tenants: authentication of clients by key, and admission of operations under the tenants' quotas.
mod admission;
mod client_key;
mod directory;

pub use admission::{OperationAdmission, QuotaGate};
pub use client_key::ClientKey;
pub use directory::TenantDirectory;
