//! Sequences of faults: two replacements, a wiped disk, a partition and a restart in every order, at the head and at
//! the tail of the chain.
//!
//! Each fault occurs as soon as the previous one no longer counts as a loss. After each fault all acknowledged writes
//! are present and new writes are acknowledged. At any time at most one keeper serves, and all keepers agree on each
//! version of the view.
mod cluster;

use cluster::three_keepers::{SEEDS, adopted, is_acknowledged, starting, write};
use cluster::{CATCH_UP_TIME, Cluster};
use quincehatch_core::{Millis, Name};
use quincehatch_store::View;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The machine is lost, and another one starts at another address.
    Replace,
    /// The machine loses its disk and returns at the same address.
    Wipe,
    /// The machine is partitioned from the other machines for a while.
    Partition,
    /// The machine restarts with its disk.
    Restart,
}

const FAULTS: [Fault; 5] = [Fault::Replace, Fault::Replace, Fault::Wipe, Fault::Partition, Fault::Restart];
/// First token of the reads that check for acknowledged writes.
const FIRST_READ_TOKEN: u64 = 1_000_000;

struct Trial {
    cluster: Cluster,
    /// All views that keepers have adopted, by version.
    views: BTreeMap<u64, View>,
    /// Number of keepers that started with an empty disk.
    started_empty: usize,
    /// Number of the newest document that was written.
    written: u64,
    /// Number of the newest document that was acknowledged.
    acknowledged: u64,
}

impl Trial {
    fn new(tolerated_losses: usize, spares: usize) -> Trial {
        let cluster = starting(tolerated_losses);
        let mut trial =
            Trial { cluster, views: BTreeMap::new(), started_empty: 0, written: 0, acknowledged: 0 };
        for _ in 0..spares {
            trial.add_at_new_address();
        }
        trial.run(8_000);
        trial.write();
        trial.run(1_500);
        trial
    }

    fn add(&mut self, addr: &str) {
        self.started_empty += 1;
        self.cluster.start(&format!("{addr}#{}", self.started_empty), addr, &SEEDS, View::default());
    }

    fn add_at_new_address(&mut self) {
        self.add(&format!("n{}:1", self.started_empty));
    }

    fn run(&mut self, ms: Millis) {
        for _ in 0..ms / 20 {
            self.cluster.run_for(20);
            self.check();
        }
    }

    /// Checks that at most one keeper serves, and that all keepers agree on the views.
    fn check(&mut self) {
        let up = self.cluster.keepers.values().filter(|keeper| !self.cluster.down.contains(&keeper.name));
        let serving: Vec<&Name> =
            up.filter(|keeper| keeper.is_serving()).map(|keeper| &keeper.name).collect();
        assert!(serving.len() <= 1, "more than one keeper serves: {serving:?}");
        for keeper in self.cluster.keepers.values() {
            let known = self.views.entry(keeper.view.version).or_insert_with(|| keeper.view.clone());
            assert_eq!(*known, keeper.view, "two views of one version");
        }
        if is_acknowledged(&self.cluster, self.written) {
            self.acknowledged = self.written;
        }
    }

    fn write(&mut self) {
        if self.cluster.tail().is_some() {
            self.written += 1;
            write(&mut self.cluster, self.written);
        }
    }

    /// Returns the first or the last member of the chain that is running and reachable.
    fn target(&self, last: bool) -> Name {
        let newest = self.views.values().next_back().unwrap();
        let is_reachable =
            |name: &&Name| !self.cluster.down.contains(name) && !self.cluster.partitioned.contains(name);
        let mut reachable = newest.members.iter().filter(is_reachable);
        let target = if last { reachable.next_back() } else { reachable.next() };
        target.cloned().unwrap()
    }

    /// Starts the fault while a write is in flight.
    fn begin(&mut self, fault: Fault, target: &Name) {
        self.write();
        match fault {
            Fault::Partition => self.cluster.partitioned.push(target.clone()),
            _ => self.cluster.down.push(target.clone()),
        }
    }

    fn end(&mut self, fault: Fault, target: &Name) {
        let addr = self.cluster.addr(target);
        match fault {
            Fault::Replace => self.add_at_new_address(),
            Fault::Wipe => {
                self.cluster.keepers.remove(target);
                self.cluster.down.retain(|name| name != target);
                self.add(&addr);
            }
            Fault::Partition => self.cluster.partitioned.retain(|name| name != target),
            Fault::Restart => {
                self.cluster.down.retain(|name| name != target);
                self.cluster.start(target, &addr, &SEEDS, View::default());
            }
        }
    }

    fn duration(fault: Fault) -> Millis {
        if fault == Fault::Partition { 5_000 } else { 1_000 }
    }

    /// Checks that the acknowledged writes are present and that new writes are acknowledged.
    fn check_recovery(&mut self) {
        let acknowledged_before = self.acknowledged;
        let token = FIRST_READ_TOKEN + self.written;
        let stored = adopted(&mut self.cluster, token).map_or(0, |document| document.number);
        assert!(
            stored >= acknowledged_before,
            "{acknowledged_before} was acknowledged, but {stored} is in force"
        );
        self.write();
        self.run(1_500);
        assert!(self.acknowledged > acknowledged_before, "no write is acknowledged after the fault");
    }
}

/// Returns all distinct orders of the faults.
fn orders(faults: &[Fault]) -> Vec<Vec<Fault>> {
    if faults.is_empty() {
        return vec![Vec::new()];
    }
    let mut found: Vec<Vec<Fault>> = Vec::new();
    for i in 0..faults.len() {
        let mut rest = faults.to_vec();
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

/// Whether the fault with this index occurs at the tail: bit `number` of `tail_bits` is set.
fn is_at_tail(tail_bits: u32, number: usize) -> bool {
    tail_bits >> number & 1 == 1
}

fn check_one_fault_at_a_time(spares: usize) {
    for order in orders(&FAULTS) {
        for tail_bits in 0..1 << order.len() {
            let mut trial = Trial::new(1, spares);
            for (i, fault) in order.iter().enumerate() {
                let target = trial.target(is_at_tail(tail_bits, i));
                trial.begin(*fault, &target);
                trial.run(Trial::duration(*fault));
                trial.end(*fault, &target);
                trial.run(CATCH_UP_TIME);
                assert!(
                    trial.cluster.tail().is_some(),
                    "{order:?} {tail_bits:b}: no keeper serves after fault {i}"
                );
                trial.check_recovery();
            }
        }
    }
}

#[test]
fn no_write_is_lost_when_three_keepers_have_one_fault_after_the_other() {
    check_one_fault_at_a_time(0);
}

#[test]
fn no_write_is_lost_when_three_keepers_and_a_spare_have_one_fault_after_the_other() {
    check_one_fault_at_a_time(1);
}

/// Two losses are tolerated, so two faults occur at a time.
#[test]
fn no_write_is_lost_when_five_keepers_have_two_faults_at_a_time() {
    for order in orders(&FAULTS) {
        for tail_bits in 0..1 << order.len() {
            let mut trial = Trial::new(2, 2);
            for (i, pair) in order.chunks(2).enumerate() {
                let mut targets = Vec::new();
                for (place, fault) in pair.iter().enumerate() {
                    let target = trial.target(is_at_tail(tail_bits, 2 * i + place));
                    trial.begin(*fault, &target);
                    targets.push(target);
                }
                trial.run(1_000);
                for (fault, target) in pair.iter().zip(&targets) {
                    trial.run(Trial::duration(*fault) - 1_000);
                    trial.end(*fault, target);
                }
                trial.run(6_000);
                assert!(
                    trial.cluster.tail().is_some(),
                    "{order:?} {tail_bits:b}: no keeper serves after fault {i}"
                );
                trial.check_recovery();
            }
        }
    }
}
