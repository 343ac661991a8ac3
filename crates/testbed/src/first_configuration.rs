//! The first configuration of a fleet.
use crate::shape::Shape;

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
