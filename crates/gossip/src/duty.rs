//! Duties are cut by key over the live nodes; whoever takes one over needs a higher fence (§6.3).
use quincehatch_core::{Name, rendezvous};

/// Who looks after `key`, of these live nodes.
pub fn owner<'a>(key: &str, live: &'a [Name]) -> Option<&'a Name> {
    rendezvous(key, live).into_iter().next()
}

/// The three owners of a session's copies: in different nodes, and in different districts where there are
/// enough of them (§6.4).
pub fn replica_owners(key: &str, live: &[(Name, Name)]) -> Vec<Name> {
    let names: Vec<&Name> = live.iter().map(|(n, _)| n).collect();
    let order = rendezvous(key, names.iter().copied());
    let district = |n: &Name| live.iter().find(|(m, _)| m == n).map(|(_, d)| d.clone());
    let mut out: Vec<Name> = Vec::new();
    let mut seen = Vec::new();
    for n in &order {
        if out.len() < 3 && !seen.contains(&district(n)) {
            seen.push(district(n));
            out.push((*n).clone());
        }
    }
    for n in &order {
        if out.len() < 3 && !out.contains(n) {
            out.push((*n).clone());
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn live(n: usize, districts: usize) -> Vec<(Name, Name)> {
        (0..n).map(|i| (format!("n{i}").into(), format!("d{}", i % districts).into())).collect()
    }

    #[test]
    fn owners_spread_over_districts_and_move_little() {
        let (a, b) = (live(11, 4), live(10, 4));
        let mut moved = 0;
        for k in 0..200 {
            let key = format!("s{k}");
            let (x, y) = (replica_owners(&key, &a), replica_owners(&key, &b));
            let ds: std::collections::BTreeSet<_> =
                x.iter().map(|n| a.iter().find(|(m, _)| m == n).map(|(_, d)| d)).collect();
            assert_eq!((x.len(), ds.len()), (3, 3));
            moved += usize::from(x != y);
        }
        assert!(moved < 120, "{moved} of 200 moved when one of 11 nodes went");
    }
}
