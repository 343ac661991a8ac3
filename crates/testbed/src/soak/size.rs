//! Draws the size of a soak run's fleet.
use crate::shape::{REPLICAS, Shape};
use quincehatch_runtime::rng::Rng;

/// One run in this many is large.
const LARGE_EVERY: u64 = 10;
const MAX_ZONES: u64 = 4;
/// Number of nodes per group of servers in a large run.
const NODES_PER_GROUP: usize = 12;
/// Number of callers, and that of a large run.
const CALLERS: usize = 40;
const LARGE_CALLERS: usize = 200;

/// The drawn size of a soak run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSize {
    /// Shape of the fleet.
    pub shape: Shape,
    /// Number of callers.
    pub callers: usize,
}

impl SoakSize {
    /// Returns the number of the fleet's processes, including the platform's stand-in.
    pub fn processes(&self) -> usize {
        let Shape { nodes, keepers, groups, replicas, .. } = self.shape;
        nodes + keepers + groups * replicas + 1
    }
}

/// Draws the size for a seed. `large_nodes` is the number of nodes of a large run; with 0 no run is large.
pub fn draw_size(seed: u64, large_nodes: usize, port: u16) -> SoakSize {
    let mut rng = Rng::new(seed);
    let is_large = large_nodes > 0 && seed.is_multiple_of(LARGE_EVERY);
    let mut draw = |least: usize, count: u64| least + rng.below(count) as usize;
    let shape = Shape {
        name: "soak".into(),
        zones: draw(1, MAX_ZONES),
        nodes: draw(3, 6),
        keepers: if draw(0, 3) == 0 { 5 } else { 3 },
        groups: draw(1, 3),
        replicas: REPLICAS,
        port,
    };
    let shape = if is_large {
        Shape { nodes: large_nodes, keepers: 5, groups: large_nodes.div_ceil(NODES_PER_GROUP), ..shape }
    } else {
        shape
    };
    let callers = if is_large { LARGE_CALLERS } else { CALLERS };
    SoakSize { shape, callers }
}
