//! All interleavings of a few threads over one pool shard (§9.3). Run with RUSTFLAGS="--cfg qh_loom".
#![cfg(qh_loom)]
use loom::sync::Arc;
use loom::thread;
use quincehatch_proxy::newest::{Newest, Numbered};
use quincehatch_proxy::shard::{Grant, Shard, Use};

fn take(s: &Shard<u32>, u: Use, cap: usize, share: usize) -> Option<u32> {
    match s.take(u, cap, share, |_| true) {
        Grant::Idle(l) => Some(l),
        Grant::Open => Some(7),
        Grant::Full => None,
    }
}

#[test]
fn links_never_pass_the_cap_and_none_is_lost() {
    loom::model(|| {
        let s = Arc::new(Shard::<u32>::default());
        let t: Vec<_> = (0..2)
            .map(|_| {
                let s = s.clone();
                thread::spawn(move || {
                    if let Some(l) = take(&s, Use::Order, 1, 1) {
                        assert!(s.count().0 <= 1);
                        assert!(s.put(Use::Order, 1, l).is_none());
                    }
                })
            })
            .collect();
        t.into_iter().for_each(|t| t.join().unwrap());
        assert_eq!(s.count(), (1, 1));
    });
}

#[test]
fn a_lookup_never_takes_more_than_its_share_while_orders_come_and_go() {
    loom::model(|| {
        let s = Arc::new(Shard::<u32>::default());
        let a = s.clone();
        let lookups = thread::spawn(move || {
            let one = take(&a, Use::Lookup, 2, 1);
            let two = take(&a, Use::Lookup, 2, 1);
            assert!(one.is_none() || two.is_none());
            one.or(two).map(|l| a.put(Use::Lookup, 2, l));
        });
        let b = s.clone();
        let orders = thread::spawn(move || {
            if take(&b, Use::Order, 2, 1).is_some() {
                b.gone(Use::Order);
            }
        });
        lookups.join().unwrap();
        orders.join().unwrap();
        let (live, idle) = s.count();
        assert_eq!(live, idle);
        assert!(live <= 2);
    });
}

#[test]
fn closing_beside_a_return_leaves_no_link_behind() {
    loom::model(|| {
        let s = Arc::new(Shard::<u32>::default());
        let l = take(&s, Use::Order, 2, 1).unwrap();
        let a = s.clone();
        let back = thread::spawn(move || drop(a.put(Use::Order, 2, l)));
        let b = s.clone();
        let close = thread::spawn(move || drop(b.clear(true)));
        back.join().unwrap();
        close.join().unwrap();
        assert_eq!(s.count(), (0, 0));
        assert!(take(&s, Use::Order, 2, 1).is_none());
    });
}

struct N(u64);
impl Numbered for N {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.0 >= than.0
    }
}

#[test]
fn the_blackboard_never_goes_back() {
    loom::model(|| {
        let b = Arc::new(Newest::new(N(1)));
        let writers: Vec<_> = [3, 2]
            .into_iter()
            .map(|n| {
                let b = b.clone();
                thread::spawn(move || b.set(N(n), |_, _| ()))
            })
            .collect();
        let first = b.get().0;
        let then = b.get().0;
        assert!(then >= first);
        writers.into_iter().for_each(|w| drop(w.join()));
        assert_eq!(b.get().0, 3);
    });
}
