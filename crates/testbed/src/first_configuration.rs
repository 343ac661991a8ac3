//! The first configuration of a fleet.
use crate::shape::Shape;
use quincehatch_config::key_digest::KeyDigest;

/// The database whose route needs a key.
pub const GUARDED_DATABASE: &str = "guarded";

/// Returns a configuration with one placement for each group; the `db` label of a request selects the route.
pub fn configuration_for(shape: &Shape) -> String {
    let lookup_ms = shape.lookup_ms();
    let mut text = String::new();
    for group in 1..=shape.groups {
        text += &format!("[[placements]]\nname = \"p{group}\"\nselect = {{ group = [\"g{group}\"] }}\n\n");
    }
    for group in 1..=shape.groups {
        text += &format!(
            "[[routes]]\nname = \"order-g{group}\"\nclass = \"order\"\nwhen = {{ db = [\"g{group}\"] }}\n\
             placement = \"p{group}\"\ntimeout_ms = 1000\n\n\
             [[routes]]\nname = \"lookup-g{group}\"\nclass = \"lookup\"\nwhen = {{ db = [\"g{group}\"] }}\n\
             placement = \"p{group}\"\ntimeout_ms = {lookup_ms}\n\n"
        );
    }
    text
}

/// Returns the key that is valid only under the configuration with that mark.
pub fn guest_key(mark: u64) -> String {
    format!("guest-{mark}")
}

/// Adds a route that requires a guest's key to a configuration whose other routes require none. The key is specific to
/// the mark, so that the next configuration revokes it.
pub fn with_guest_key(text: &str, mark: u64) -> String {
    let digest =
        KeyDigest::of(guest_key(mark).as_bytes()).map(|digest| digest.to_string()).unwrap_or_default();
    let public = text.replace("\nclass = ", "\npublic = true\nclass = ");
    format!(
        "require_keys = true\n\n{public}\n[[routes]]\nname = \"{GUARDED_DATABASE}\"\nclass = \"lookup\"\n\
         when = {{ db = [\"{GUARDED_DATABASE}\"] }}\nplacement = \"p1\"\n\n\
         [[tenants]]\nname = \"guest\"\nkeys = [\"{digest}\"]\nrate_per_s = 1000\nburst = 1000\n"
    )
}
