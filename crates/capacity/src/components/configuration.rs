//! Costs of parsing and validating a configuration.
use crate::cpu::timed;
use crate::samples::configuration_text;
use quincehatch_config::configuration::Configuration;

/// The size of a configuration, and the cost of parsing it.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationCost {
    /// Processor time of parsing and validating it, in milliseconds.
    pub cpu_ms: f64,
    /// Length of the text in bytes.
    pub bytes: usize,
}

/// Parses a configuration of `groups` databases and measures the cost.
pub fn parse_configuration(groups: usize) -> ConfigurationCost {
    let text = configuration_text(groups, 0);
    let parsed = timed(|| Configuration::parse(&text));
    assert!(parsed.result.is_ok(), "{:?}", parsed.result);
    ConfigurationCost { cpu_ms: parsed.cpu_ms, bytes: text.len() }
}
