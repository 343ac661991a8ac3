//! Whole checks of a configuration; they refer to nothing but the configuration itself.
mod limits;
mod mistakes;
mod placements;
mod routes;
mod tenants;
mod unreachable_routes;
mod zones;

use crate::configuration::Configuration;
use mistakes::Mistakes;

impl Configuration {
    /// All that is wrong, each mistake with the path of the key.
    pub fn validate(&self) -> Vec<String> {
        let mut mistakes = Mistakes::default();
        placements::check(self, &mut mistakes);
        zones::check(self, &mut mistakes);
        routes::check(self, &mut mistakes);
        limits::check_groups(self, &mut mistakes);
        zones::check_selectors(self, &mut mistakes);
        tenants::check(self, &mut mistakes);
        limits::check_sections(self, &mut mistakes);
        mistakes.into_list()
    }
}
