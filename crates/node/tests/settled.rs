//! What nodes' words about acknowledged commits are worth (§5.5).
use quincehatch_core::{Name, Position};
use quincehatch_node::acknowledged::{Settled, Told, reach};

fn at(n: u64) -> Position {
    Position { fence: 1, number: n }
}
fn told(of: &[(&str, u64, u64)]) -> Told {
    of.iter().map(|(n, end, life)| (Name::from(*n), (at(*end), *life))).collect()
}

#[test]
fn every_life_that_may_have_acknowledged_something_must_tell() {
    let s = Settled { lead: 3, end: at(5), nodes: [("n1".into(), 10), ("n2".into(), 20)].into() };
    assert_eq!(reach(&s, &told(&[("n1", 7, 10), ("n2", 6, 20)])), Some(at(7)));
    // Whoever came later is heard too, and what was settled counts where nobody passed on more.
    assert_eq!(reach(&s, &told(&[("n1", 7, 10), ("n2", 6, 20), ("n3", 9, 30)])), Some(at(9)));
    assert_eq!(reach(&s, &told(&[("n1", 0, 10), ("n2", 0, 20)])), Some(at(5)));
    // One is missing, or began anew and has forgotten.
    assert_eq!(reach(&s, &told(&[("n1", 7, 10)])), None);
    assert_eq!(reach(&s, &told(&[("n1", 7, 10), ("n2", 6, 21)])), None);
}
