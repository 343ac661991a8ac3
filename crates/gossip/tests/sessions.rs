//! What a session was promised, under moves of its client, unreachable owners and repair: it is found whole, or it is
//! lost, but it never lacks anything.
use quincehatch_core::{Name, Version};
use quincehatch_gossip::LiveMember;
use quincehatch_gossip::ownership::replica_owners;
use quincehatch_gossip::session_replicas::{OwnerPair, RANGE_COUNT, SessionReplicaTable};
use quincehatch_proxy::session::SessionState;
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

const NODES: usize = 7;
const ID: &str = "s1";
/// Steps of one run.
const STEPS: usize = 400;
/// How often a node does not answer, in thousandths.
const UNREACHABLE_PER_MILLE: u64 = 300;

/// What proves that a replica has everything that the client was promised.
#[derive(Clone, Copy)]
enum Proof {
    /// The versions that the replica grew out of include the client's.
    Ancestors,
    /// Its version is not lower: not enough, as an update that was never acknowledged may have a higher one.
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

    /// The nodes that answer this time.
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

    /// Stores the session at its owners; whether a majority of them did.
    fn store(&mut self, session: &SessionState) -> bool {
        let reachable = self.reachable();
        let owners = self.reachable_owners(&reachable);
        owners.iter().for_each(|owner| self.insert(owner, session));
        owners.len() >= 2
    }

    fn newest(&self, nodes: &[Name], fits: impl Fn(&SessionState) -> bool) -> Option<SessionState> {
        let replicas = nodes.iter().filter_map(|node| self.tables[node].get(ID));
        replicas.filter(fits).max_by_key(|replica| replica.version)
    }

    fn find(&mut self, client_version: Version, proof: Proof) -> Option<SessionState> {
        let fits = |replica: &SessionState| proof.holds(replica, client_version);
        let reachable = self.reachable();
        let owners = self.reachable_owners(&reachable);
        let at_owners = self.newest(&owners, fits).filter(|_| owners.len() >= 2);
        at_owners.or_else(|| self.newest(&reachable, fits))
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

/// How often the session of one run was found whole, and how often it was lost.
#[derive(Default)]
struct Tally {
    whole: usize,
    lost: usize,
}

/// One client that moves about; an error says what was missing.
fn run(seed: u64, proof: Proof) -> Result<Tally, String> {
    let mut cluster = Cluster::new(seed);
    let mut session = SessionState { id: ID.into(), ..Default::default() }.next_version(0, false);
    let (mut client_version, mut highest_attempted, mut adopted) = (session.version, 0, false);
    let mut promised: Vec<String> = Vec::new();
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
                    promised.push(format!("x{step}=1"));
                    (client_version, session) = (next.version, next);
                }
            }
            // The client moves: another node has nothing but the replicas.
            5..8 => match cluster.find(client_version, proof) {
                None => tally.lost += 1,
                Some(found) => {
                    if let Some(missing) = promised.iter().find(|setting| !found.settings.contains(setting)) {
                        let version = found.version;
                        let error =
                            format!("version {version} of {client_version} lacks the promised {missing}");
                        return Err(format!("step {step}: {error}"));
                    }
                    tally.whole += 1;
                    // An update whose outcome was unknown and that is found belongs to the session now.
                    promised.clone_from(&found.settings);
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
fn a_session_is_whole_or_lost_when_its_client_moves() {
    let mut all = Tally::default();
    for seed in 0..200 {
        let tally = run(seed, Proof::Ancestors).unwrap_or_else(|missing| panic!("seed {seed}: {missing}"));
        all.whole += tally.whole;
        all.lost += tally.lost;
    }
    assert!(all.whole > 10_000 && all.lost < all.whole / 5, "{} whole, {} lost", all.whole, all.lost);
}

#[test]
fn a_replica_of_an_unacknowledged_update_passes_for_a_promised_one_without_its_ancestors() {
    assert!((0..200).any(|seed| run(seed, Proof::VersionNumber).is_err()));
}
