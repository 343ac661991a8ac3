//! Messages of the state plane (§5).
use crate::news::{Change, Told};
use crate::store::{Adopted, Store};
use qh_core::{Breakdown, ChangeNo, Edition, Fence, Lead, Ms, Name, Standing, messages};

messages! {
    /// The agreed view: who is in the chain, in order, and which disk machines vote (§5.3).
    #[derive(Eq, Default)]
    pub struct View { pub edition: Edition, pub members: Vec<Name>, pub machines: Vec<Machine> }

    #[derive(Eq, Default)]
    pub struct Machine { pub name: Name, pub addr: Name }

    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct Ballot { pub n: u64, pub by: u64 }

    /// What enters the chain. On disk each is known by its place here: new ones come last.
    #[derive(Eq)]
    pub enum Cmd {
        /// A blueprint as JSON, on the edition it builds on. `sum` tells two texts apart.
        Push { base: Edition, text: String, by: Name },
        /// The next fence for a duty's key (§6.3).
        TakeFence { duty: Name, by: Name },
        /// Who leads a group now (§5.5).
        SetLead { group: Name, lead: Lead },
        /// A blueprint under its operator's own number: the highest number holds, one that is not above it changes
        /// nothing. `source` is the operator's document word for word (§5.2).
        Adopt { number: u64, text: String, source: String, by: Name },
        /// A server is there, or something of it changed (§3.5).
        Stand { at: Standing },
        /// A server has gone in order.
        Depart { server: Name },
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
    pub struct Entry { pub n: ChangeNo, pub key: Name, pub cmd: Cmd }

    /// The chain's answer to a write.
    #[derive(Eq)]
    pub enum Answer {
        Edition(Edition), Fence(Fence), Done, Declined(Breakdown), Enrolled(ChangeNo), Lead(Lead)
    }

    pub enum PeerMsg {
        Prepare { ballot: Ballot },
        Promise { ballot: Ballot, ok: bool, seen: Ballot, accepted: Option<(Ballot, View)> },
        Accept { ballot: Ballot, view: View },
        Accepted { ballot: Ballot, ok: bool, seen: Ballot },
        /// Heartbeat: what I hold, and a wish to have my view's lease renewed.
        Beat { view: View, seq: u64, n: ChangeNo },
        /// The lease of `edition` is granted for the beat `seq`.
        Grant { edition: Edition, seq: u64 },
        /// Down the chain.
        Pass { edition: Edition, prev: ChangeNo, entries: Vec<Entry>, end: ChangeNo },
        /// Up the chain: I hold all to `n`; send what comes next.
        Need { edition: Edition, n: ChangeNo },
        /// Up the chain from the tail: committed, and in force everywhere.
        Ack { edition: Edition, committed: ChangeNo, in_force: ChangeNo },
        /// Down the chain, from a tail that was to the one that is: the leases it granted, and for how long there may be
        /// others.
        Leases { edition: Edition, rows: Vec<LeaseRow>, blind: Ms },
        /// A machine outside the view asks the tail for everything.
        Fetch { edition: Edition },
        /// `parted`: nodes dismissed so lately that a lease may be out, and for how long; `blind`: for how long there
        /// may be others that the sender does not know (§5.6).
        Whole { edition: Edition, store: Box<Store>, join: bool, parted: Vec<(Name, Ms)>, blind: Ms },
        /// From outside the view: I am reached there, and may take a lost machine's place (§5.9).
        Seek { at: Name },
        /// To one outside: this is the view.
        Known { view: View }
    }

    /// What nodes and operators ask of a keeper.
    pub enum Ask {
        /// `enrolled`: the entry that enrolled the node's process.
        Feed { node: Name, addr: Name, have: ChangeNo, applied: Edition, enrolled: ChangeNo },
        Write { key: Name, cmd: Cmd },
        Machines { edition: Edition, machines: Vec<Machine> },
        /// The whole store, as committed at the tail.
        Read,
        /// The operator's document in force, as committed at the tail.
        Adopted,
        Status
    }

    pub enum Rep {
        Changes { changes: Vec<Change>, lease_ms: Ms },
        /// All that nodes act on, where changes do not reach back.
        Told { told: Box<Told>, lease_ms: Ms },
        Whole { store: Box<Store> },
        Answer { n: ChangeNo, answer: Answer },
        Adopted { adopted: Option<Adopted> },
        /// No lease: the process is to be enrolled first.
        Enroll,
        /// Ask there instead.
        Elsewhere { view: View },
        Status { status: KeeperStatus },
        Declined { why: Breakdown }
    }

    #[derive(Eq, Default)]
    pub struct KeeperStatus {
        pub name: Name, pub view: View, pub n: ChangeNo, pub committed: ChangeNo, pub in_force: ChangeNo,
        pub edition: Edition, pub serving: bool, pub why: String, pub leases: Vec<LeaseRow>
    }

    #[derive(Eq, Default)]
    pub struct LeaseRow { pub node: Name, pub addr: Name, pub left_ms: Ms, pub applied: ChangeNo }

    /// All that reaches a keeper's door.
    pub enum Knock { Peer { from: Name, m: PeerMsg }, Node { ask: Ask } }

    pub enum Knocked { Taken, Rep { rep: Rep } }
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
    pub fn beside(&self, me: &str, by: isize) -> Option<&Name> {
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
