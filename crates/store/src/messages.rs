//! Messages of the state plane (§5).
use crate::disk_port::DiskUsage;
use crate::entry_log::PackedEntry;
use crate::feed::{Change, FeedSnapshot};
use crate::snapshot::{SnapshotPart, SnapshotProgress};
use crate::store::{Adopted, Store};
use quincehatch_core::{ChangeNo, Error, Fence, Lead, Ms, Name, ServerRecord, Version, messages};

messages! {
    /// The agreed view: who is in the chain, in order, and which disk machines vote (§5.3).
    #[derive(Eq, Default)]
    pub struct View { pub version: Version, pub members: Vec<Name>, pub machines: Vec<Machine> }

    #[derive(Eq, Default)]
    pub struct Machine { pub name: Name, pub addr: Name }

    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct Ballot { pub n: u64, pub by: u64 }

    /// What enters the chain. On disk each is known by its place here: new ones come last.
    #[derive(Eq)]
    pub enum Command {
        /// A blueprint as JSON, on the version it builds on. `sum` tells two texts apart.
        Push { base: Version, text: String, by: Name },
        /// The next fence for a duty's key (§6.3).
        TakeFence { duty: Name, by: Name },
        /// Who leads a group now (§5.5).
        SetLead { group: Name, lead: Lead },
        /// A blueprint under its operator's own number: the highest number holds, one that is not above it changes
        /// nothing. `source` is the operator's document word for word (§5.2).
        Adopt { number: u64, text: String, source: String, by: Name },
        /// A server is there, or something of it changed (§3.5).
        RegisterServer { at: ServerRecord },
        /// A server has gone in order.
        DeregisterServer { server: Name },
        /// A node's process begins: only those that are enrolled are given leases, so a new tail knows whose may be out
        /// (§5.6). `life` tells one process of a node from the next.
        Enroll { node: Name, life: u64 },
        /// The process enrolled by that entry holds no lease any more and asks for none.
        Dismiss { node: Name, enrolled: ChangeNo },
        /// The lead under the fence has all of its log on two of its list: lists from before are let go (§5.5).
        Settle { group: Name, fence: Fence },
        /// The next fence for a group's duty, if its leadership is still `over`, as its taker planned for: whoever
        /// comes too late takes none, so it never overtakes another only to give up (§5.4).
        NextFence { group: Name, by: Name, over: Leadership }
    }

    /// Who leads a group, and under which fence the next change of that was begun.
    #[derive(Eq, Default)]
    pub struct Leadership {
        /// The newest fence of the group's duty. Above the lead's own: a change of hands is begun and wrote nothing yet.
        pub fence: Fence,
        /// The lead as it was last written.
        pub lead: Option<Lead>
    }

    #[derive(Eq)]
    pub struct Entry { pub n: ChangeNo, pub key: Name, pub cmd: Command }

    /// The chain's answer to a write.
    #[derive(Eq)]
    pub enum Answer {
        Version(Version), Fence(Fence), Done, Declined(Error), Enrolled(ChangeNo), Lead(Lead)
    }

    pub enum PeerMessage {
        /// Asks for a promise about the view that follows `base`, which is decided (§5.3).
        Prepare { ballot: Ballot, base: View },
        Promise { ballot: Ballot, ok: bool, seen: Ballot, accepted: Option<(Ballot, View)> },
        Accept { ballot: Ballot, base: View, view: View },
        Accepted { ballot: Ballot, ok: bool, seen: Ballot },
        /// Heartbeat: what I hold, and a wish to have my view's lease renewed.
        Beat { view: View, seq: u64, n: ChangeNo },
        /// The lease of `version` is granted for the beat `seq`.
        Grant { version: Version, seq: u64 },
        /// Down the chain.
        Pass { version: Version, prev: ChangeNo, entries: Vec<PackedEntry>, end: ChangeNo },
        /// Up the chain: I hold all to `n`, and `progress` of a snapshot; send what comes next.
        Need { version: Version, n: ChangeNo, progress: SnapshotProgress },
        /// Up the chain from the tail: committed, and in force everywhere.
        Ack { version: Version, committed: ChangeNo, in_force: ChangeNo },
        /// Down the chain, from a tail that was to the one that is: the leases it granted, and for how long there may be
        /// others.
        Leases { version: Version, rows: Vec<LeaseRow>, unknown_leases: Ms },
        /// A machine outside the view asks the tail for everything, and tells what it holds of a snapshot.
        Fetch { version: Version, progress: SnapshotProgress },
        /// `dismissed_leases`: nodes dismissed so lately that a lease may be out, and for how long; `unknown_leases`: for how long there
        /// may be others that the sender does not know (§5.6).
        Snapshot { version: Version, part: SnapshotPart, join: bool, dismissed_leases: Vec<(Name, Ms)>, unknown_leases: Ms },
        /// From outside the view: I am reached there, and may take a lost machine's place (§5.9).
        Discover { at: Name },
        /// To one outside: this is the view.
        CurrentView { view: View },
        /// To one outside, from a member: fetch the store, then propose `view`, which follows `base` and in which you
        /// vote and are the tail (§5.9).
        Invite { base: View, view: View }
    }

    /// What nodes and operators ask of a keeper.
    pub enum Request {
        /// `enrolled`: the entry that enrolled the node's process.
        Feed { node: Name, addr: Name, have: ChangeNo, applied: Version, enrolled: ChangeNo },
        Write { key: Name, cmd: Command },
        Machines { version: Version, machines: Vec<Machine> },
        /// The whole store, as committed at the tail.
        Read,
        /// The operator's document in force, as committed at the tail.
        Adopted,
        Status
    }

    pub enum Reply {
        Changes { changes: Vec<Change>, lease_ms: Ms },
        /// All that nodes act on, where changes do not reach back.
        Snapshot { snapshot: Box<FeedSnapshot>, lease_ms: Ms },
        Store { store: Box<Store> },
        Answer { n: ChangeNo, answer: Answer },
        Adopted { adopted: Option<Adopted> },
        /// No lease: the process is to be enrolled first.
        Enroll,
        /// Ask there instead.
        Elsewhere { view: View },
        Status { status: KeeperStatus },
        Declined { why: Error }
    }

    #[derive(Eq, Default)]
    pub struct KeeperStatus {
        pub name: Name, pub view: View, pub n: ChangeNo, pub committed: ChangeNo, pub in_force: ChangeNo,
        pub version: Version, pub serving: bool, pub why: String, pub leases: Vec<LeaseRow>,
        pub disk: DiskUsage, pub log: LogSize
    }

    /// Entries kept in memory for members that lag behind, and the bytes they take.
    #[derive(Copy, Eq, Default)]
    pub struct LogSize { pub entries: u64, pub bytes: u64 }

    #[derive(Eq, Default)]
    pub struct LeaseRow { pub node: Name, pub addr: Name, pub left_ms: Ms, pub applied: ChangeNo }

    /// All that reaches a keeper's door.
    pub enum KeeperRequest { Peer { from: Name, m: PeerMessage }, Node { ask: Request } }

    pub enum KeeperResponse { Taken, Reply { rep: Reply } }
}

impl View {
    pub fn head(&self) -> Option<&Name> {
        self.members.first()
    }
    pub fn tail(&self) -> Option<&Name> {
        self.members.last()
    }
    pub fn addr(&self, name: &str) -> Option<&Name> {
        self.machines.iter().find(|m| m.name == name).map(|m| &m.addr)
    }
    /// The neighbour `by` places further down the chain than `me`.
    pub fn neighbour(&self, me: &str, by: isize) -> Option<&Name> {
        let i = self.members.iter().position(|m| m == me)?;
        self.members.get(i.checked_add_signed(by)?)
    }
    pub fn has(&self, name: &str) -> bool {
        self.members.iter().any(|m| m == name)
    }
    /// True when `who` holds a majority of this view's machines.
    pub fn majority<'a>(&self, who: impl Iterator<Item = &'a Name>) -> bool {
        let n = who.filter(|w| self.machines.iter().any(|m| m.name == **w)).count();
        n * 2 > self.machines.len()
    }
}
