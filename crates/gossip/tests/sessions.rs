//! Checks that a session stays complete while its client moves between nodes, owners are unreachable and replicas are
//! repaired. The session may be lost, but a session that is found has every acknowledged update.
use quincehatch_core::{Name, Version};
use quincehatch_gossip::LiveMember;
use quincehatch_gossip::ownership::replica_owners;
use quincehatch_gossip::session_replicas::{OwnerPair, RANGE_COUNT, SessionReplicaTable};
use quincehatch_proxy::session::SessionState;
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

const NODES: usize = 7;
const ID: &str = "s1";
/// The number of steps of one run.
const STEPS: usize = 400;
/// The probability that a node does not answer, in thousandths.
const UNREACHABLE_PER_MILLE: u64 = 300;

/// The rule that decides whether a replica has every update that was acknowledged to the client.
#[derive(Clone, Copy)]
enum Proof {
    /// The replica's ancestor versions include the client's version.
    Ancestors,
    /// The replica's version is not lower than the client's. This does not suffice, as an update that was never
    /// acknowledged may have a higher version.
    VersionNumber,
}

impl Proof {
    fn holds(self, replica: &SessionState, client_version: Version) -> bool {
        match self {
            Proof::Ancestors => replica.includes(client_version),
            Proof::VersionNumber => replica.version >= client_version,
        }
    }
}

struct Cluster {
    rng: Rng,
    live: Vec<LiveMember>,
    tables: BTreeMap<Name, SessionReplicaTable>,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let member = |i| LiveMember { name: format!("n{i}").into(), zone: format!("d{}", i % 3).into() };
        let live: Vec<LiveMember> = (0..NODES).map(member).collect();
        let empty = |member: &LiveMember| (member.name.clone(), SessionReplicaTable::default());
        let tables = live.iter().map(empty).collect();
        Self { rng: Rng::new(seed), live, tables }
    }

    fn names(&self) -> Vec<Name> {
        self.live.iter().map(|member| member.name.clone()).collect()
    }

    /// Draws the nodes that answer in this step.
    fn reachable(&mut self) -> Vec<Name> {
        let names = self.names();
        names.into_iter().filter(|_| !self.rng.chance(UNREACHABLE_PER_MILLE)).collect()
    }

    fn reachable_owners(&self, reachable: &[Name]) -> Vec<Name> {
        let owners = replica_owners(ID, &self.live);
        owners.into_iter().filter(|owner| reachable.contains(owner)).collect()
    }

    fn insert(&mut self, at: &Name, session: &SessionState) {
        self.tables.get_mut(at).unwrap().insert_if_newer(0, session.clone());
    }

    /// Stores the session at its reachable owners. Returns whether these are a majority of its owners.
    fn store(&mut self, session: &SessionState) -> bool {
        let reachable = self.reachable();
        let owners = self.reachable_owners(&reachable);
        owners.iter().for_each(|owner| self.insert(owner, session));
        owners.len() >= 2
    }

    fn newest(&self, nodes: &[Name], is_acceptable: impl Fn(&SessionState) -> bool) -> Option<SessionState> {
        let replicas = nodes.iter().filter_map(|node| self.tables[node].get(ID));
        replicas.filter(is_acceptable).max_by_key(|replica| replica.version)
    }

    fn find(&mut self, client_version: Version, proof: Proof) -> Option<SessionState> {
        let is_acceptable = |replica: &SessionState| proof.holds(replica, client_version);
        let reachable = self.reachable();
        let owners = self.reachable_owners(&reachable);
        let at_owners = self.newest(&owners, is_acceptable).filter(|_| owners.len() >= 2);
        at_owners.or_else(|| self.newest(&reachable, is_acceptable))
    }

    /// Two random nodes compare their replicas and exchange what is newer.
    fn repair(&mut self) {
        let names = self.names();
        let first = self.rng.pick(&names).cloned().unwrap();
        let second = self.rng.pick(&names).cloned().unwrap();
        let pair = OwnerPair { local: &first, peer: &second, live: &self.live };
        let (a, b) = (&self.tables[&first], &self.tables[&second]);
        let (digests_a, digests_b) = (a.range_digests(pair), b.range_digests(pair));
        let (mut to_first, mut to_second) = (Vec::new(), Vec::new());
        let differs = |range: &u8| digests_a[*range as usize] != digests_b[*range as usize];
        for range in (0..RANGE_COUNT as u8).filter(differs) {
            let (versions_a, versions_b) =
                (a.versions_in_range(pair, range), b.versions_in_range(pair, range));
            let diff = b.diff_range(&versions_b, &versions_a);
            to_first.extend(diff.newer);
            to_second.extend(diff.wanted.iter().filter_map(|id| a.get(id)));
        }
        to_first.iter().for_each(|session| self.insert(&first, session));
        to_second.iter().for_each(|session| self.insert(&second, session));
    }
}

/// How often the session of one run was found complete, and how often it was lost.
#[derive(Default)]
struct Tally {
    complete: usize,
    lost: usize,
}

/// Runs one client that moves between nodes. An error describes the acknowledged update that was missing.
fn run(seed: u64, proof: Proof) -> Result<Tally, String> {
    let mut cluster = Cluster::new(seed);
    let mut session = SessionState { id: ID.into(), ..Default::default() }.next_version(0, false);
    let (mut client_version, mut highest_attempted, mut adopted) = (session.version, 0, false);
    let mut acknowledged: Vec<String> = Vec::new();
    cluster.store(&session);
    let mut tally = Tally::default();
    for step in 0..STEPS {
        match cluster.rng.below(10) {
            0..5 => {
                let mut next = session.next_version(highest_attempted, adopted);
                highest_attempted = next.version;
                next.settings.push(format!("x{step}=1"));
                if cluster.store(&next) {
                    adopted = false;
                    acknowledged.push(format!("x{step}=1"));
                    (client_version, session) = (next.version, next);
                }
            }
            // The client moves to another node, which has only the replicas.
            5..8 => match cluster.find(client_version, proof) {
                None => tally.lost += 1,
                Some(found) => {
                    if let Some(missing) =
                        acknowledged.iter().find(|setting| !found.settings.contains(setting))
                    {
                        let version = found.version;
                        let error =
                            format!("version {version} of {client_version} lacks the acknowledged {missing}");
                        return Err(format!("step {step}: {error}"));
                    }
                    tally.complete += 1;
                    // An update with an unknown outcome belongs to the session once it is found.
                    acknowledged.clone_from(&found.settings);
                    (session, highest_attempted, adopted) = (found, 0, true);
                    client_version = session.version;
                }
            },
            _ => cluster.repair(),
        }
    }
    Ok(tally)
}

#[test]
fn a_session_is_complete_or_lost_when_its_client_moves() {
    let mut all = Tally::default();
    for seed in 0..200 {
        let tally = run(seed, Proof::Ancestors).unwrap_or_else(|missing| panic!("seed {seed}: {missing}"));
        all.complete += tally.complete;
        all.lost += tally.lost;
    }
    assert!(
        all.complete > 10_000 && all.lost < all.complete / 5,
        "{} complete, {} lost",
        all.complete,
        all.lost
    );
}

#[test]
fn comparing_only_version_numbers_accepts_a_replica_that_lacks_an_acknowledged_update() {
    assert!((0..200).any(|seed| run(seed, Proof::VersionNumber).is_err()));
}
