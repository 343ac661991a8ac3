//! Hashes that are stable across machines and versions, and rendezvous hashing.

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Byte hashed after each part, so that ("ab", "c") and ("a", "bc") differ. UTF-8 text never contains it.
const PART_SEPARATOR: u8 = 0xff;

/// A 64-bit hash (FNV-1a with a finishing mix) that is the same on every machine and in every version: hashes are
/// stored on disk and decide which node owns a key.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in part.iter().chain(&[PART_SEPARATOR]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix64(hash)
}

/// The finishing step of SplitMix64: every bit of the input affects every bit of the result.
pub fn mix64(value: u64) -> u64 {
    let mut mixed = value;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The weight of a node for a key in rendezvous hashing; the node with the highest weight owns the key.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    hash64(&[key.as_bytes(), node.as_bytes()])
}

/// Rendezvous hashing: orders `nodes` by their weight for `key`, the owner first. When a node joins or leaves,
/// only the keys that it owns change their owner.
pub fn rendezvous<'a, S: AsRef<str> + 'a>(key: &str, nodes: impl IntoIterator<Item = &'a S>) -> Vec<&'a S> {
    let mut weighted: Vec<(u64, &S)> =
        nodes.into_iter().map(|node| (rendezvous_weight(key, node.as_ref()), node)).collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    weighted.into_iter().map(|(_, node)| node).collect()
}
