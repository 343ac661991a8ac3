//! Ids and small values every plane uses (§2).
use crate::messages;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Milliseconds on this process's own monotonic clock (§2.2). Never compared across machines.
pub type Millis = u64;
/// A fence: rises with every change of hands (§5.4).
pub type FencingToken = u64;
/// Version of a blueprint, a view, a session.
pub type Version = u64;
/// Number of a change in the feed (§5.2).
pub type ChangeNumber = u64;
pub type Name = CompactString;
pub type Labels = BTreeMap<Name, Name>;

messages! {
    /// A place in a server group's history: the fence it was written under, then its number (§3.2).
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
    pub struct Position {
        pub fence: FencingToken,
        #[serde(rename = "n")]
        pub number: u64,
    }

    #[derive(Copy, Eq, Hash, Default)]
    pub enum Role { Primary, #[default] Replica }

    #[derive(Copy, Eq, Hash, Default)]
    pub enum ServerState { #[default] Up, #[serde(rename = "Leaving")] Draining, Starting }

    /// What a server puts on every reply (§3.1).
    #[derive(Eq, Default)]
    pub struct Stamp { pub server: Name, pub fence: FencingToken, pub position: Position, pub role: Role }

    /// What a server says of itself on its beat (§3.3). `boot` then `seq` is the beat's version.
    #[derive(Eq, Default)]
    pub struct ServerHeartbeat {
        pub server: Name, pub boot: u64, pub seq: u64, pub addr: Name, pub labels: Labels,
        pub role: Role, pub state: ServerState, pub fence: FencingToken,
        pub position: Position, pub log_end: Position
    }

    /// Who leads a group, as the chain says (§5.5). `None` while hands change.
    #[derive(Eq, Default)]
    pub struct PrimaryAssignment {
        pub fence: FencingToken, pub server: Option<Name>, pub demoted: Option<Name>, pub assigned_by: Name,
        /// Servers that count towards its commits; the next promotion fences all but one of these (§5.5).
        pub voters: Vec<Name>,
        /// Lists from before, which hold beside it until the lead's log is on two of the new one.
        pub previous_voters: Vec<Vec<Name>>
    }
}

messages! {
    /// A server as the chain knows it: written when something of it changes, not at each beat (§3.5). `seq` is the
    /// number of the beat that told it; one with a lower number changes nothing.
    #[derive(Eq, Default)]
    pub struct ServerRecord {
        pub server: Name, pub group: Name, pub addr: Name, pub zone: Name,
        pub slots: u32, pub draining: bool, pub role: Role, pub seq: u64
    }
}

impl PrimaryAssignment {
    /// All lists that hold, the newest last (§5.5).
    pub fn voter_sets(&self) -> Vec<Vec<Name>> {
        self.previous_voters.iter().chain(Some(&self.voters)).filter(|l| !l.is_empty()).cloned().collect()
    }
}

impl ServerHeartbeat {
    pub fn version(&self) -> (u64, u64) {
        (self.boot, self.seq)
    }
    pub fn group(&self) -> &str {
        self.labels.get("group").map_or("", |g| g.as_str())
    }
    pub fn zone(&self) -> &str {
        // `district` is the label's deprecated name; where both are given, `zone` may be a label of the operator's own.
        self.labels.get("district").or_else(|| self.labels.get("zone")).map_or("", |zone| zone.as_str())
    }
}

/// A stable 64-bit hash (FNV-1a with a finishing mix): duties, owners, content sums (§6.3).
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for p in parts {
        for b in p.iter().chain(&[0xff]) {
            h = (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    let mut z = h;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Rendezvous order of `nodes` for `key`: the first is the owner (§6.3).
pub fn rendezvous<'a, S: AsRef<str> + 'a>(key: &str, nodes: impl IntoIterator<Item = &'a S>) -> Vec<&'a S> {
    let mut v: Vec<_> =
        nodes.into_iter().map(|n| (hash64(&[key.as_bytes(), n.as_ref().as_bytes()]), n)).collect();
    v.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    v.into_iter().map(|(_, n)| n).collect()
}
