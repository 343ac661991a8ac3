//! Checks that the owner table agrees with rendezvous hashing over the live nodes.
use quincehatch_core::Name;
use quincehatch_gossip::OwnerTable;
use quincehatch_gossip::ownership::owner;
use quincehatch_runtime::rng::Rng;

const NODES: usize = 40;
const KEYS: usize = 25;
const SEEDS: u64 = 60;

#[test]
fn owners_agree_with_rendezvous_hashing_as_nodes_join_and_leave() {
    for seed in 1..=SEEDS {
        let mut rng = Rng::new(seed);
        let mut table = OwnerTable::default();
        let mut live: Vec<Name> = Vec::new();
        let keys: Vec<Name> = (0..KEYS).map(|key| Name::from(format!("lead/g{key}"))).collect();
        for _ in 0..60 {
            let node = Name::from(format!("n{}", rng.below(NODES as u64)));
            match live.iter().position(|known| *known == node) {
                Some(index) => drop(live.remove(index)),
                None => live.push(node),
            }
            table.set_live(live.clone());
            for key in keys.iter().filter(|_| rng.chance(700)) {
                assert_eq!(table.owner(key), owner(key, &live), "seed {seed}, {key} among {live:?}");
            }
        }
    }
}
