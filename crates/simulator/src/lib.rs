//! Deterministic simulation: whole fleets, the control plane alone, and fleets on direct connections, in virtual time.
pub mod control;
pub mod direct;
pub mod fleet;
