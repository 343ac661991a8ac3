//! A small seeded random number generator (SplitMix64) for the simulator and for jitter: the same seed gives the same
//! sequence. It is not cryptographically secure.
use quincehatch_core::mix64;

/// Step of the SplitMix64 sequence.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A seeded generator.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator whose sequence depends on `seed` alone.
    pub fn new(seed: u64) -> Self {
        Self(seed ^ INCREMENT)
    }

    /// Returns the next number, over the full range.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        mix64(self.0)
    }

    /// Returns a number in `0..limit`. If `limit` is 0, it returns 0 and does not advance the sequence.
    pub fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 { 0 } else { self.next_u64() % limit }
    }

    /// Returns `true` with a probability of `per_mille` in 1000.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// Returns a random one of `items`, or `None` if there are none.
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
