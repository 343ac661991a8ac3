//! Validation of a whole configuration. The checks refer to nothing but the configuration itself.
mod limits;
mod placements;
mod routes;
mod tenants;
mod unreachable_routes;
mod validation_errors;
mod zones;

use crate::configuration::Configuration;
use validation_errors::ValidationErrors;

impl Configuration {
    /// Returns all validation errors, each with the path of its key.
    pub fn validate(&self) -> Vec<String> {
        let mut errors = ValidationErrors::default();
        placements::check(self, &mut errors);
        zones::check(self, &mut errors);
        routes::check(self, &mut errors);
        limits::check_groups(self, &mut errors);
        zones::check_selectors(self, &mut errors);
        tenants::check(self, &mut errors);
        limits::check_sections(self, &mut errors);
        errors.into_list()
    }
}
