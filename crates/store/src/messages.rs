//! Messages of the state plane (§5).
use crate::entry_log::PackedEntry;
use crate::feed::{Change, FeedSnapshot};
use crate::snapshot::{SnapshotPart, SnapshotProgress};
use crate::storage::disk_usage::DiskUsage;
use crate::store::{AdoptedDocument, Store};
use quincehatch_core::{
    ChangeNumber, Error, FencingToken, Millis, Name, PrimaryAssignment, ServerRecord, Version, messages,
};

messages! {
    /// The agreed view: who is in the chain, in order, and which disk machines vote (§5.3).
    #[derive(Eq, Default)]
    pub struct View { pub version: Version, pub members: Vec<Name>, pub voters: Vec<Voter> }

    #[derive(Eq, Default)]
    pub struct Voter { pub name: Name, pub addr: Name }

    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct Ballot { pub number: u64, pub by: u64 }

    /// What enters the chain. On disk each is known by its place here: new ones come last.
    #[derive(Eq)]
    pub enum Command {
        /// A blueprint as JSON, on the version it builds on. `sum` tells two texts apart.
        PushConfiguration { base: Version, text: String, by: Name },
        /// The next fence for a duty's key (§6.3).
        AcquireFence { duty: Name, by: Name },
        /// Who leads a group now (§5.5).
        AssignPrimary { group: Name, primary: PrimaryAssignment },
        /// A blueprint under its operator's own number: the highest number holds, one that is not above it changes
        /// nothing. `source` is the operator's document word for word (§5.2).
        AdoptDocument { number: u64, text: String, source: String, by: Name },
        /// A server is there, or something of it changed (§3.5).
        RegisterServer { at: ServerRecord },
        /// A server has gone in order.
        DeregisterServer { server: Name },
        /// A node's process begins: only those that are enrolled are given leases, so a new tail knows whose may be out
        /// (§5.6). `life` tells one process of a node from the next.
        EnrollNode { node: Name, incarnation: u64 },
        /// The process enrolled by that entry holds no lease any more and asks for none.
        DismissNode { node: Name, enrolled: ChangeNumber },
        /// The lead under the fence has all of its log on two of its list: lists from before are let go (§5.5).
        DropPreviousVoters { group: Name, fence: FencingToken },
        /// The next fence for a group's duty, if its leadership is still `over`, as its taker planned for: whoever
        /// comes too late takes none, so it never overtakes another only to give up (§5.4).
        AcquireFenceIfUnchanged { group: Name, by: Name, expected: PrimaryState }
    }

    /// Who leads a group, and under which fence the next change of that was begun.
    #[derive(Eq, Default)]
    pub struct PrimaryState {
        /// The newest fence of the group's duty. Above the lead's own: a change of hands is begun and wrote nothing yet.
        pub fence: FencingToken,
        /// The lead as it was last written.
        pub primary: Option<PrimaryAssignment>
    }

    #[derive(Eq)]
    pub struct Entry { pub number: ChangeNumber, pub key: Name, pub command: Command }

    /// The chain's answer to a write.
    #[derive(Eq)]
    pub enum Answer {
        Version(Version), Fence(FencingToken), Done, Rejected(Error), Enrolled(ChangeNumber), Lead(PrimaryAssignment)
    }

    pub enum PeerMessage {
        /// Asks for a promise about the view that follows `base`, which is decided (§5.3).
        Prepare { ballot: Ballot, base: View },
        Promise { ballot: Ballot, ok: bool, highest_promised: Ballot, accepted: Option<(Ballot, View)> },
        Accept { ballot: Ballot, base: View, view: View },
        Accepted { ballot: Ballot, ok: bool, highest_promised: Ballot },
        /// Heartbeat: what I hold, and a wish to have my view's lease renewed.
        Beat { view: View, sequence: u64, last_change: ChangeNumber },
        /// The lease of `version` is granted for the beat `seq`.
        GrantViewLease { version: Version, sequence: u64 },
        /// Down the chain.
        AppendEntries { version: Version, previous_change: ChangeNumber, entries: Vec<PackedEntry>, last_change: ChangeNumber },
        /// Up the chain: I hold all to `n`, and `progress` of a snapshot; send what comes next.
        RequestEntries { version: Version, last_change: ChangeNumber, progress: SnapshotProgress },
        /// Up the chain from the tail: committed, and in force everywhere.
        Acknowledge { version: Version, committed: ChangeNumber, in_force: ChangeNumber },
        /// Down the chain, from a tail that was to the one that is: the leases it granted, and for how long there may be
        /// others.
        HandOverLeases { version: Version, leases: Vec<LeaseStatus>, unknown_leases_ms: Millis },
        /// A machine outside the view asks the tail for everything, and tells what it holds of a snapshot.
        FetchSnapshot { version: Version, progress: SnapshotProgress },
        /// `dismissed_leases`: nodes dismissed so lately that a lease may be out, and for how long; `unknown_leases`: for how long there
        /// may be others that the sender does not know (§5.6).
        Snapshot { version: Version, part: SnapshotPart, joining: bool, dismissed_leases: Vec<(Name, Millis)>, unknown_leases_ms: Millis },
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
        Feed { node: Name, addr: Name, last_change: ChangeNumber, applied: Version, enrolled: ChangeNumber },
        Write { key: Name, command: Command },
        ChangeVoters { version: Version, voters: Vec<Voter> },
        /// The whole store, as committed at the tail.
        ReadStore,
        /// The operator's document in force, as committed at the tail.
        Adopted,
        Status
    }

    pub enum Reply {
        Changes { changes: Vec<Change>, lease_ms: Millis },
        /// All that nodes act on, where changes do not reach back.
        Snapshot { snapshot: Box<FeedSnapshot>, lease_ms: Millis },
        Store { store: Box<Store> },
        Answer { number: ChangeNumber, answer: Answer },
        Adopted { adopted: Option<AdoptedDocument> },
        /// No lease: the process is to be enrolled first.
        NotEnrolled,
        /// Ask there instead.
        Redirect { view: View },
        Status { status: KeeperStatus },
        Rejected { error: Error }
    }

    #[derive(Eq, Default)]
    pub struct KeeperStatus {
        pub name: Name, pub view: View, pub last_change: ChangeNumber, pub committed: ChangeNumber, pub in_force: ChangeNumber,
        pub version: Version, pub serving: bool, pub reason: String, pub leases: Vec<LeaseStatus>,
        pub disk: DiskUsage, pub log: LogSize
    }

    /// Entries kept in memory for members that lag behind, and the bytes they take.
    #[derive(Copy, Eq, Default)]
    pub struct LogSize { pub entries: u64, pub bytes: u64 }

    #[derive(Eq, Default)]
    pub struct LeaseStatus { pub node: Name, pub addr: Name, pub remaining_ms: Millis, pub applied: ChangeNumber }

    /// All that reaches a keeper's door.
    pub enum KeeperRequest { Peer { from: Name, message: PeerMessage }, Node { request: Request } }

    pub enum KeeperResponse { Delivered, Reply { reply: Reply } }
}

impl View {
    pub fn head(&self) -> Option<&Name> {
        self.members.first()
    }
    pub fn tail(&self) -> Option<&Name> {
        self.members.last()
    }
    pub fn addr(&self, name: &str) -> Option<&Name> {
        self.voters.iter().find(|m| m.name == name).map(|m| &m.addr)
    }
    /// The neighbour `by` places further down the chain than `me`.
    pub fn neighbour(&self, me: &str, by: isize) -> Option<&Name> {
        let i = self.members.iter().position(|m| m == me)?;
        self.members.get(i.checked_add_signed(by)?)
    }
    pub fn is_member(&self, name: &str) -> bool {
        self.members.iter().any(|m| m == name)
    }
    /// True when `who` holds a majority of this view's machines.
    pub fn has_majority<'a>(&self, who: impl Iterator<Item = &'a Name>) -> bool {
        let n = who.filter(|w| self.voters.iter().any(|m| m.name == **w)).count();
        n * 2 > self.voters.len()
    }
}
