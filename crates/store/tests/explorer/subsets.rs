//! Enumeration of subsets of a given size.
use quincehatch_core::Name;

/// Returns all subsets of `names` with `size` elements.
pub fn subsets(names: &[Name], size: usize) -> Vec<Vec<Name>> {
    if size == 0 {
        return vec![Vec::new()];
    }
    let mut found = Vec::new();
    for (i, first) in names.iter().enumerate() {
        for mut rest in subsets(&names[i + 1..], size - 1) {
            rest.insert(0, first.clone());
            found.push(rest);
        }
    }
    found
}
