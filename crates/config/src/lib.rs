//! The fleet's configuration and the settings files of the programs: reading, defaults and checks.
pub mod configuration;
mod check;
pub mod objects;
pub mod settings;
mod shadow;
