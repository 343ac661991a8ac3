//! A small seeded random number generator (SplitMix64) for the simulator and for jitter: the same seed gives the same
//! run. It is not for secrets.
use quincehatch_core::mix64;

/// Step of the SplitMix64 sequence.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A seeded generator.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator whose sequence depends on `seed` alone.
    pub fn new(seed: u64) -> Self {
        Self(seed ^ INCREMENT)
    }

    /// The next number, over the full range.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        mix64(self.0)
    }

    /// A number in `0..limit`; 0, without a draw, when `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 { 0 } else { self.next_u64() % limit }
    }

    /// `true` in `per_mille` of a thousand draws.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// One of `items`; `None` if there are none.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len() as u64) as usize)
    }

    /// Puts the items in random order (Fisher-Yates).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i as u64 + 1) as usize);
        }
    }
}
