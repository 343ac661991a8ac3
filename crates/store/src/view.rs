//! The view: which keepers form the chain, in which order, and which of them vote on the next view.
use quincehatch_core::{Name, Version, messages};

messages! {
    /// One version of the chain's membership. Versions are decided one after the other by the voters, see
    /// [`register`](crate::register).
    #[derive(Eq, Default)]
    pub struct View {
        /// Increases by one with each decided view; 0 is no view.
        pub version: Version,
        /// The keepers that replicate the log, from the head, which takes writes, to the tail, which commits and
        /// answers reads.
        pub members: Vec<Name>,
        /// The keepers that vote on the next view, whether they are members or not.
        pub voters: Vec<Voter>
    }

    /// A keeper that votes on views.
    #[derive(Eq, Default)]
    pub struct Voter {
        /// The name under which the keeper's disk was created.
        pub name: Name,
        /// Where the keeper is reached.
        pub addr: Name
    }

    /// A proposal number of the view register. Ballots of two proposers are never equal.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct Ballot {
        /// Increases with each proposal; compared first.
        pub number: u64,
        /// Which proposer uses the ballot.
        pub proposer: u64
    }
}

impl View {
    /// The first view of a new chain. Every voter is named by its address, so that all keepers derive the same view
    /// from the same list of addresses without any message.
    pub fn initial(addrs: &[Name]) -> View {
        let mut addrs = addrs.to_vec();
        addrs.sort();
        addrs.dedup();
        let voters = addrs.iter().map(|addr| Voter { name: addr.clone(), addr: addr.clone() }).collect();
        View { version: 1, members: addrs, voters }
    }

    /// The member that takes writes.
    pub fn head(&self) -> Option<&Name> {
        self.members.first()
    }

    /// The member that commits entries and answers reads.
    pub fn tail(&self) -> Option<&Name> {
        self.members.last()
    }

    /// The address of a voter.
    pub fn addr(&self, name: &str) -> Option<&Name> {
        self.voters.iter().find(|voter| voter.name == name).map(|voter| &voter.addr)
    }

    /// The member from which `member` receives entries; `None` for the head and for keepers outside the chain.
    pub fn predecessor(&self, member: &str) -> Option<&Name> {
        let position = self.position(member)?;
        self.members.get(position.checked_sub(1)?)
    }

    /// The member to which `member` forwards entries; `None` for the tail and for keepers outside the chain.
    pub fn successor(&self, member: &str) -> Option<&Name> {
        let position = self.position(member)?;
        self.members.get(position + 1)
    }

    /// The place of a member in the chain, counted from the head.
    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member == name)
    }

    /// Is the keeper part of the chain?
    pub fn is_member(&self, name: &str) -> bool {
        self.members.iter().any(|member| member == name)
    }

    /// Does the keeper vote on the next view?
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter.name == name)
    }

    /// Are the named keepers a majority of this view's voters? Names of other keepers do not count.
    pub fn has_majority<'names>(&self, names: impl Iterator<Item = &'names Name>) -> bool {
        let votes = names.filter(|name| self.is_voter(name)).count();
        votes * 2 > self.voters.len()
    }

    /// The next view, in which `newcomer` has the vote of `voter` and is the tail.
    pub(crate) fn with_vote_moved(&self, voter: &Name, newcomer: Voter) -> View {
        let mut next = self.next();
        next.members.retain(|member| member != voter);
        next.members.push(newcomer.name.clone());
        for seat in next.voters.iter_mut().filter(|seat| seat.name == *voter) {
            *seat = newcomer.clone();
        }
        next
    }

    /// The next view, with one more voter, which is the tail.
    pub(crate) fn with_voter(&self, newcomer: Voter) -> View {
        let mut next = self.next();
        next.members.push(newcomer.name.clone());
        next.voters.push(newcomer);
        next
    }

    /// The next view, with the voter `name` as the tail.
    pub(crate) fn with_member(&self, name: &Name) -> View {
        let mut next = self.next();
        next.members.push(name.clone());
        next
    }

    /// The next view, without `name` in the chain; its vote stays.
    pub(crate) fn without_member(&self, name: &Name) -> View {
        let mut next = self.next();
        next.members.retain(|member| member != name);
        next
    }

    /// The next view with these members and the same voters.
    pub(crate) fn with_members(&self, members: Vec<Name>) -> View {
        View { members, ..self.next() }
    }

    fn next(&self) -> View {
        View { version: self.version + 1, ..self.clone() }
    }
}
