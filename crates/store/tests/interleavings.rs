//! Replacements, a wipe, a cut and a restart in every order, on the first and on the last of the chain (§5.9).
//!
//! Each comes as soon as the one before it no longer counts as a loss. After each, what was acknowledged is there and
//! writes go on; at every moment one keeper serves at most, and all agree on what a version of the view is.
mod kit;

use kit::fleet::{adopted, is_acknowledged, write};
use kit::{CATCH_UP, Net};
use quincehatch_core::{Millis, Name};
use quincehatch_store::View;
use std::collections::BTreeMap;

const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Replace,
    Wipe,
    Cut,
    Restart,
}

const TROUBLES: [Trouble; 5] =
    [Trouble::Replace, Trouble::Replace, Trouble::Wipe, Trouble::Cut, Trouble::Restart];

struct Trial {
    net: Net,
    /// Every view that was seen, by its version.
    views: BTreeMap<u64, View>,
    fresh: usize,
    /// Documents written, and the newest that was acknowledged.
    written: u64,
    acknowledged: u64,
}

impl Trial {
    fn new(borne: usize, spares: usize) -> Trial {
        let mut net = Net { now: 1_000, borne: Some(borne), ..Default::default() };
        for s in SEEDS {
            net.seeker(s, s, &SEEDS, View::initial(&SEEDS.map(Name::from)));
        }
        let mut trial = Trial { net, views: BTreeMap::new(), fresh: 0, written: 0, acknowledged: 0 };
        (0..spares).for_each(|_| trial.add_elsewhere());
        trial.run(8_000);
        trial.write();
        trial.run(1_500);
        trial
    }

    fn add(&mut self, addr: &str) {
        self.fresh += 1;
        self.net.seeker(&format!("{addr}#{}", self.fresh), addr, &SEEDS, View::default());
    }

    fn add_elsewhere(&mut self) {
        self.add(&format!("n{}:1", self.fresh));
    }

    fn run(&mut self, ms: Millis) {
        for _ in 0..ms / 20 {
            self.net.run(20);
            self.check();
        }
    }

    fn check(&mut self) {
        let up = self.net.ks.values().filter(|k| !self.net.down.contains(&k.name));
        let serving: Vec<&Name> = up.filter(|k| k.is_serving()).map(|k| &k.name).collect();
        assert!(serving.len() <= 1, "two serve: {serving:?}");
        for keeper in self.net.ks.values() {
            let known = self.views.entry(keeper.view.version).or_insert_with(|| keeper.view.clone());
            assert_eq!(*known, keeper.view, "two views of one version");
        }
        if is_acknowledged(&self.net, self.written) {
            self.acknowledged = self.written;
        }
    }

    fn write(&mut self) {
        if self.net.tail().is_some() {
            self.written += 1;
            write(&mut self.net, self.written);
        }
    }

    /// The first or the last of the chain that is up.
    fn target(&self, last: bool) -> Name {
        let newest = self.views.values().next_back().unwrap();
        let mut up =
            newest.members.iter().filter(|m| !self.net.down.contains(m) && !self.net.cut.contains(m));
        if last { up.next_back().cloned().unwrap() } else { up.next().cloned().unwrap() }
    }

    fn addr(&self, name: &Name) -> Name {
        self.net.at.iter().find(|(_, n)| *n == name).map(|(addr, _)| addr.clone()).unwrap()
    }

    /// Strikes, with a write on its way.
    fn begin(&mut self, trouble: Trouble, target: &Name) {
        self.write();
        match trouble {
            Trouble::Cut => self.net.cut.push(target.clone()),
            _ => self.net.down.push(target.clone()),
        }
    }

    fn end(&mut self, trouble: Trouble, target: &Name) {
        let addr = self.addr(target);
        match trouble {
            Trouble::Replace => self.add_elsewhere(),
            Trouble::Wipe => {
                self.net.ks.remove(target);
                self.net.down.retain(|n| n != target);
                self.add(&addr);
            }
            Trouble::Cut => self.net.cut.retain(|n| n != target),
            Trouble::Restart => {
                self.net.down.retain(|n| n != target);
                self.net.seeker(target, &addr, &SEEDS, View::default());
            }
        }
    }

    fn lasts(trouble: Trouble) -> Millis {
        if trouble == Trouble::Cut { 5_000 } else { 1_000 }
    }

    fn recovered(&mut self) {
        let before = self.acknowledged;
        let held = adopted(&mut self.net, 1_000_000 + self.written).map_or(0, |a| a.number);
        assert!(held >= before, "{before} was acknowledged, {held} is there");
        self.write();
        self.run(1_500);
        assert!(self.acknowledged > before, "no writes after it");
    }
}

/// All orders of the troubles that are left.
fn orders(left: &[Trouble]) -> Vec<Vec<Trouble>> {
    if left.is_empty() {
        return vec![Vec::new()];
    }
    let mut found: Vec<Vec<Trouble>> = Vec::new();
    for i in 0..left.len() {
        let mut rest = left.to_vec();
        let first = rest.remove(i);
        for mut order in orders(&rest) {
            order.insert(0, first);
            if !found.contains(&order) {
                found.push(order);
            }
        }
    }
    found
}

/// Which end of the chain each trouble strikes: bit by bit of a number.
fn strikes_last(ends: u32, number: usize) -> bool {
    ends >> number & 1 == 1
}

fn one_at_a_time(spares: usize) {
    for order in orders(&TROUBLES) {
        for ends in 0..1 << order.len() {
            let mut trial = Trial::new(1, spares);
            for (i, trouble) in order.iter().enumerate() {
                let target = trial.target(strikes_last(ends, i));
                trial.begin(*trouble, &target);
                trial.run(Trial::lasts(*trouble));
                trial.end(*trouble, &target);
                trial.run(CATCH_UP);
                assert!(trial.net.tail().is_some(), "{order:?} {ends:b}: nobody serves after {i}");
                trial.recovered();
            }
        }
    }
}

#[test]
fn three_machines_bear_one_trouble_after_the_other() {
    one_at_a_time(0);
}

#[test]
fn three_machines_and_a_spare_bear_one_trouble_after_the_other() {
    one_at_a_time(1);
}

/// Where two may be lost at once, two troubles at a time.
#[test]
fn five_machines_bear_two_troubles_at_a_time() {
    for order in orders(&TROUBLES) {
        for ends in 0..1 << order.len() {
            let mut trial = Trial::new(2, 2);
            for (i, pair) in order.chunks(2).enumerate() {
                let targets: Vec<Name> = (0..pair.len())
                    .map(|j| {
                        let target = trial.target(strikes_last(ends, 2 * i + j));
                        trial.begin(pair[j], &target);
                        target
                    })
                    .collect();
                trial.run(1_000);
                for (trouble, target) in pair.iter().zip(&targets) {
                    trial.run(Trial::lasts(*trouble) - 1_000);
                    trial.end(*trouble, target);
                }
                trial.run(6_000);
                assert!(trial.net.tail().is_some(), "{order:?} {ends:b}: nobody serves after {i}");
                trial.recovered();
            }
        }
    }
}
