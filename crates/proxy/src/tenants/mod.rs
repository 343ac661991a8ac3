//! Tenants: whose key a client has given, and how much its tenant may run.
mod client_key;
mod directory;

pub use client_key::ClientKey;
pub use directory::TenantDirectory;
