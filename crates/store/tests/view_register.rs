//! The view register decides at most one view per version, under every order of messages, losses and restarts.
mod explorer;

use explorer::Change::{self, Remove, Replace};
use explorer::{State, explore};

fn check(voters: &[&str], outsiders: &[&str], changes: &[Change], longest_history: usize) {
    let explored = explore(State::new(voters, outsiders, changes));
    println!("{changes:?} of {}: {} states", voters.len(), explored.states);
    assert_eq!(explored.longest_history, longest_history, "all changes can be decided in sequence");
}

#[test]
fn one_view_is_decided_per_version_in_two_replacements_and_a_repair_of_three() {
    check(&["a", "b", "c"], &["d"], &[Replace(2), Remove(0), Replace(2)], 4);
}

#[test]
fn one_view_is_decided_per_version_in_three_replacements_of_three() {
    check(&["a", "b", "c"], &["d"], &[Replace(0), Replace(1), Replace(0)], 4);
}

#[test]
fn one_view_is_decided_per_version_in_two_changes_of_four() {
    check(&["a", "b", "c", "d"], &["e"], &[Replace(3), Replace(1)], 3);
}

#[test]
fn one_view_is_decided_per_version_in_two_changes_of_five() {
    check(&["a", "b", "c", "d", "e"], &["f"], &[Replace(4), Remove(0)], 3);
}
