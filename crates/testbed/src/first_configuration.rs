//! The first configuration of a fleet.
use crate::shape::Shape;
use quincehatch_config::key_digest::KeyDigest;

/// The database whose route needs a key.
pub const GUARDED_DATABASE: &str = "guarded";

/// One placement for each group; orders and lookups choose by the request's `db` label.
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

/// The key that is in force under the configuration with that mark alone.
pub fn guest_key(mark: u64) -> String {
    format!("guest-{mark}")
}

/// The configuration with one more route, which needs a guest's key; all others need none. The key belongs to this mark,
/// so that whichever configuration comes next revokes it.
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
