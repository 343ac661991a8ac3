//! What happened in a simulated run, checked as it happens and once more at its end (§1, §9.1).
use super::node::NodeProc;
use super::world::{Kind, World};
use crate::history::{BACK, STALE};
use qh_core::{ChangeNo, Edition, Ms, Name};
use qh_state::Answer;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub enum Want {
    Order { key: Name, list: String },
    Ask { key: Name },
    SideRead { list: String },
    Lookup { list: String },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Kept,
    Nothing,
    Unknown,
    Sealed,
    Rows(Value),
}

#[derive(Clone, Debug, Default)]
pub struct Try {
    pub list: String,
    pub kept_at: Option<Ms>,
    pub doubt: bool,
    pub sealed: bool,
    pub open: usize,
}

#[derive(Default)]
pub struct History {
    pub tries: BTreeMap<Name, Try>,
    open: BTreeMap<u64, (Want, Ms, Name)>,
    pub breaches: Vec<String>,
    pub pushes: Vec<(Edition, Ms)>,
    bases: BTreeMap<Name, Edition>,
    won: BTreeMap<Edition, Name>,
    applied: BTreeMap<(Name, u64), (Edition, ChangeNo)>,
    committed: ChangeNo,
    kept_times: Vec<Ms>,
    pub reads: usize,
    pub promotions: usize,
    /// What happened, told as it goes when one seed is looked at.
    pub tell: bool,
}

impl History {
    pub fn say(&self, now: Ms, s: &str) {
        if self.tell {
            println!("{now:>6} {s}");
        }
    }
    fn breach(&mut self, s: String) {
        if self.breaches.len() < 50 {
            self.breaches.push(s);
        }
    }
    pub fn asked(&mut self, id: u64, now: Ms, want: Want) {
        if let Want::Order { key, list } = &want {
            let t = self.tries.entry(key.clone()).or_default();
            t.list.clone_from(list);
            t.open += 1;
        }
        self.open.insert(id, (want, now, Name::default()));
    }
    pub fn visited(&mut self, id: u64, now: Ms, node: &Name, _life: u64, edition: Edition) {
        if let Some(o) = self.open.get_mut(&id) {
            o.2 = node.clone();
        }
        let late = self.pushes.iter().find(|(e, at)| *e > edition && *at < now).copied();
        if let Some((e, at)) = late {
            self.breach(format!(
                "N10 at {now} node {node} began a visit under {edition}; {e} was acknowledged at {at}"
            ));
        }
    }
    pub fn open_at(&self, node: &str) -> Vec<u64> {
        self.open.iter().filter(|(_, o)| o.2 == node).map(|(id, _)| *id).collect()
    }

    pub fn told(&mut self, now: Ms, id: u64, t: Told) {
        let Some((want, asked, node)) = self.open.remove(&id) else { return };
        match want {
            Want::Order { key, .. } => {
                if let Some(x) = self.tries.get_mut(&key) {
                    x.open -= 1;
                }
                self.ended(now, &key, &t);
            }
            // To ask after a try and to be told nothing says nothing of the try.
            Want::Ask { key } if t != Told::Nothing => self.ended(now, &key, &t),
            Want::SideRead { list } => self.rows(now, asked, &list, &node, &t, true),
            Want::Lookup { list } => self.rows(now, asked, &list, &node, &t, false),
            Want::Ask { .. } => {}
        }
    }
    fn ended(&mut self, now: Ms, key: &Name, t: &Told) {
        let Some(x) = self.tries.get_mut(key) else { return };
        match t {
            Told::Kept => {
                x.kept_at = x.kept_at.or(Some(now));
                let sealed = x.sealed;
                self.kept_times.push(now);
                if sealed {
                    self.breach(format!("N3 {key} was told sealed and then kept"));
                }
            }
            Told::Sealed => {
                x.sealed = true;
                if x.kept_at.is_some() {
                    self.breach(format!("N2 {key} was told kept and then sealed"));
                }
            }
            Told::Unknown => x.doubt = true,
            _ => {}
        }
    }
    fn rows(&mut self, now: Ms, asked: Ms, list: &str, node: &Name, t: &Told, side: bool) {
        let Told::Rows(v) = t else { return };
        self.reads += 1;
        let seen: BTreeSet<String> = NodeProc::keys(v).into_iter().collect();
        let before = if side { asked } else { now.saturating_sub(STALE) };
        let missed = self
            .tries
            .iter()
            .find(|(k, x)| {
                x.list == list && x.kept_at.is_some_and(|at| at < before) && !seen.contains(k.as_str())
            })
            .map(|(k, x)| (k.clone(), x.kept_at.unwrap_or(0)));
        if let Some((k, at)) = missed {
            let word = if side { "N5 an order-side read" } else { "N6 a lookup" };
            self.breach(format!(
                "{word} by {node} asked at {asked}, answered at {now}, missed {k} kept at {at}"
            ));
        }
    }

    pub fn in_doubt(&self) -> Vec<Name> {
        let open = |t: &Try| t.doubt && t.kept_at.is_none() && !t.sealed && t.open == 0;
        self.tries.iter().filter(|(_, t)| open(t)).map(|(k, _)| k.clone()).take(20).collect()
    }
    /// Some try that is settled and may be sent again.
    pub fn again(&self, draw: u64) -> Option<(Name, String)> {
        let n = self.tries.len();
        let (k, t) = self.tries.iter().nth(draw as usize % n.max(1))?;
        (!t.sealed && t.open == 0).then(|| (k.clone(), t.list.clone()))
    }

    pub fn push_asked(&mut self, key: Name, base: Edition) {
        self.bases.insert(key, base);
    }
    pub fn pushed(&mut self, now: Ms, key: Name, _n: ChangeNo, a: Answer) {
        let Answer::Edition(e) = a else { return };
        self.pushes.push((e, now));
        let had = self.won.insert(e, key.clone());
        if had.is_some_and(|h| h != key) {
            self.breach(format!("N11 edition {e} was given to two pushes"));
        }
        if self.bases.get(&key).is_some_and(|b| b + 1 != e) {
            self.breach(format!("N11 the push {key} became {e} though it built on another"));
        }
    }
    pub fn applied(&mut self, now: Ms, node: &Name, life: u64, e: Edition, n: ChangeNo) {
        let had = self.applied.insert((node.clone(), life), (e, n));
        if had.is_some_and(|h| h.0 > e || h.1 > n) {
            self.breach(format!("N10 at {now} node {node} slipped from {had:?} to {e}, {n}"));
        }
    }
    pub fn keeper(
        &mut self,
        now: Ms,
        name: &Name,
        (serving, view, n, committed): (bool, Edition, ChangeNo, ChangeNo),
    ) {
        if serving && n < self.committed {
            let c = self.committed;
            self.breach(format!("N10 at {now} {name} serves view {view} at {n} while {c} was committed"));
        }
        self.committed = self.committed.max(committed);
    }
    pub fn kept(&self) -> usize {
        self.tries.values().filter(|t| t.kept_at.is_some()).count()
    }
    pub fn back_after(&self, at: Ms) -> Ms {
        self.kept_times.iter().find(|t| **t > at).map_or(Ms::MAX, |t| t - at)
    }
}

/// The last checks: all is healed and quiet, nothing is in doubt.
pub fn check(w: &mut World, healed: Ms) {
    let mut lists: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut top = 0;
    for p in &w.procs {
        if let Kind::Server(s) = &p.kind
            && s.db.commit > top
        {
            top = s.db.commit;
            lists = s.db.kv.iter().map(|(k, v)| (k.clone(), NodeProc::keys(v))).collect();
        }
    }
    let mut count: BTreeMap<&str, usize> = BTreeMap::new();
    lists.values().flatten().for_each(|k| *count.entry(k).or_default() += 1);
    let mut bad: Vec<String> = Vec::new();
    for (k, n) in count.iter().filter(|(_, n)| **n > 1) {
        bad.push(format!("N1 the order {k} took effect {n} times"));
    }
    for (k, t) in &w.hist.tries {
        let n = count.get(k.as_str()).copied().unwrap_or(0);
        match (n, t.kept_at) {
            (0, Some(at)) => bad.push(format!("N2 the order {k}, acknowledged at {at}, vanished")),
            (1.., _) if t.sealed => bad.push(format!("N3 the sealed order {k} was kept")),
            (1.., None) if !t.doubt => {
                bad.push(format!("N3 the order {k} was kept; all answers said nothing was"))
            }
            (_, None) if t.doubt && !t.sealed => bad.push(format!("the order {k} was never settled")),
            _ => {}
        }
    }
    let back = w.hist.back_after(healed);
    if back > BACK {
        bad.push(format!("N12 no order was kept for {back} ms after all was healed"));
    }
    if w.hist.kept() == 0 || w.hist.reads == 0 || w.hist.pushes.is_empty() {
        bad.push("the run proves nothing: no order, read or push came through".into());
    }
    w.hist.breaches.extend(bad);
}
