//! The fleet's configuration and the settings files of the programs: reading, defaults and checks.
mod check;
pub mod configuration;
pub mod objects;
pub mod settings;
mod shadow;
