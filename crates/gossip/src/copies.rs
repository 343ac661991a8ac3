//! Copies of session contexts, compared by digests over ranges and mended from the newer (§6.4). Sans-IO.
use crate::duty::replica_owners;
use quincehatch_core::{Millis, Name, Version, hash64};
use quincehatch_proxy::session::SessionState;
use std::collections::BTreeMap;

pub const RANGE_COUNT: usize = 16;
/// A closed session is remembered so long, so that an old copy does not bring it back.
const CLOSED_FOR: Millis = 120_000;
/// Copies a node keeps at most; beyond it new sessions are declined.
pub const MAX_REPLICAS: usize = 100_000;

#[derive(Debug, Default)]
pub struct SessionReplicaTable {
    held: BTreeMap<Name, (SessionState, Millis)>,
}

pub fn range_of(id: &str) -> u8 {
    (hash64(&[id.as_bytes()]) >> 60) as u8
}

impl SessionReplicaTable {
    /// Takes a copy if it is the newer. False when there is no room.
    pub fn insert_if_newer(&mut self, now: Millis, c: SessionState) -> bool {
        let had = self.held.get(&c.id).map(|(h, _)| h.version);
        if had.is_none() && self.held.len() >= MAX_REPLICAS {
            return false;
        }
        if had.is_none_or(|e| e < c.version) {
            self.held.insert(c.id.clone(), (c, now));
        }
        true
    }
    pub fn get(&self, id: &str) -> Option<SessionState> {
        self.held.get(id).map(|(c, _)| c.clone())
    }
    pub fn len(&self) -> usize {
        self.held.len()
    }
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
    pub fn sessions(&self) -> Vec<SessionState> {
        self.held.values().map(|(c, _)| c.clone()).collect()
    }
    pub fn expire_closed(&mut self, now: Millis) {
        self.held.retain(|_, (c, at)| !c.closed || now < *at + CLOSED_FOR);
    }
    /// Drops a copy this node no longer owes anyone.
    pub fn remove(&mut self, id: &str) {
        self.held.remove(id);
    }

    fn shared<'a>(
        &'a self,
        a: &'a Name,
        b: &'a Name,
        live: &'a [(Name, Name)],
    ) -> impl Iterator<Item = &'a SessionState> {
        self.held.values().map(|(c, _)| c).filter(move |c| {
            let o = replica_owners(&c.id, live);
            o.contains(a) && o.contains(b)
        })
    }
    /// A sum a range over the sessions that both nodes own.
    pub fn range_digests(&self, a: &Name, b: &Name, live: &[(Name, Name)]) -> Vec<u64> {
        let mut out = vec![0; RANGE_COUNT];
        for c in self.shared(a, b, live) {
            out[range_of(&c.id) as usize] ^= hash64(&[c.id.as_bytes(), &c.version.to_le_bytes()]);
        }
        out
    }
    pub fn versions_in_range(
        &self,
        a: &Name,
        b: &Name,
        live: &[(Name, Name)],
        range: u8,
    ) -> Vec<(Name, Version)> {
        let of = self.shared(a, b, live).filter(|c| range_of(&c.id) == range);
        of.map(|c| (c.id.clone(), c.version)).collect()
    }
    /// Compares with what another holds of a range: what is newer here, and what is newer there.
    pub fn diff_range(
        &self,
        mine: &[(Name, Version)],
        theirs: &[(Name, Version)],
    ) -> (Vec<SessionState>, Vec<Name>) {
        let of = |v: &[(Name, Version)], id: &Name| v.iter().find(|(i, _)| i == id).map_or(0, |(_, e)| *e);
        let newer =
            mine.iter().filter(|(id, e)| *e > of(theirs, id)).filter_map(|(id, _)| self.get(id)).collect();
        let mut want: Vec<Name> = Vec::new();
        for (id, e) in theirs {
            if *e > self.held.get(id).map_or(0, |(c, _)| c.version) {
                want.push(id.clone());
            }
        }
        (newer, want)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ctx(i: usize, version: Version) -> SessionState {
        SessionState { id: format!("s{i}").into(), version, ..Default::default() }
    }

    #[test]
    fn digests_find_what_differs_and_the_newer_mends_it() {
        let live: Vec<(Name, Name)> =
            (0..3).map(|i| (format!("n{i}").into(), format!("d{i}").into())).collect();
        let (a, b) = (Name::from("n0"), Name::from("n1"));
        let (mut x, mut y) = (SessionReplicaTable::default(), SessionReplicaTable::default());
        for i in 0..300 {
            x.insert_if_newer(0, ctx(i, 1));
            y.insert_if_newer(0, ctx(i, 1));
        }
        assert_eq!(x.range_digests(&a, &b, &live), y.range_digests(&a, &b, &live));
        x.insert_if_newer(0, ctx(7, 3));
        y.insert_if_newer(0, ctx(9, 2));
        y.insert_if_newer(0, ctx(7, 2));
        let (sx, sy) = (x.range_digests(&a, &b, &live), y.range_digests(&a, &b, &live));
        let differ: Vec<u8> = (0..RANGE_COUNT as u8).filter(|r| sx[*r as usize] != sy[*r as usize]).collect();
        assert!(!differ.is_empty() && differ.len() <= 2);
        for r in differ {
            let (mx, my) = (x.versions_in_range(&a, &b, &live, r), y.versions_in_range(&a, &b, &live, r));
            let (newer, want) = y.diff_range(&my, &mx);
            let give: Vec<SessionState> = want.iter().filter_map(|id| x.get(id)).collect();
            newer.into_iter().for_each(|c| assert!(x.insert_if_newer(0, c)));
            give.into_iter().for_each(|c| assert!(y.insert_if_newer(0, c)));
        }
        assert_eq!(x.range_digests(&a, &b, &live), y.range_digests(&a, &b, &live));
        assert_eq!(y.get("s7").map(|c| c.version), Some(3));
        assert_eq!(x.get("s9").map(|c| c.version), Some(2));
    }
}
