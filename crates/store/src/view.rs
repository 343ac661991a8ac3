//! The view: the keepers that form the chain, in their order, and the keepers that vote on the next view.
use quincehatch_core::{Name, Version, messages};

messages! {
    /// One version of the membership of the chain and of the voters. The voters of each version decide the next one,
    /// see [`register`](crate::register).
    #[derive(Eq, Default)]
    pub struct View {
        /// Increases by one with each decided view; 0 means that there is no view yet.
        pub version: Version,
        /// The keepers that replicate the log, from the head, which handles writes, to the tail, which commits and
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
        /// The address of the keeper.
        pub addr: Name
    }

    /// A proposal number of the view register. Ballots of different proposers are never equal.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct Ballot {
        /// Increases with each proposal; compared first.
        pub number: u64,
        /// The id of the proposer that uses the ballot.
        pub proposer: u64
    }
}

impl View {
    /// Returns the first view of a new chain. The name of every voter is its address, so that all keepers derive the
    /// same view from the same list of addresses without any message.
    pub fn initial(addrs: &[Name]) -> View {
        let mut addrs = addrs.to_vec();
        addrs.sort();
        addrs.dedup();
        let voters = addrs.iter().map(|addr| Voter { name: addr.clone(), addr: addr.clone() }).collect();
        View { version: 1, members: addrs, voters }
    }

    /// Returns the member that handles writes.
    pub fn head(&self) -> Option<&Name> {
        self.members.first()
    }

    /// Returns the member that commits entries and answers reads.
    pub fn tail(&self) -> Option<&Name> {
        self.members.last()
    }

    /// Returns the address of a voter.
    pub fn addr(&self, name: &str) -> Option<&Name> {
        self.voters.iter().find(|voter| voter.name == name).map(|voter| &voter.addr)
    }

    /// Returns the member from which `member` receives entries; `None` for the head and for keepers outside the chain.
    pub fn predecessor(&self, member: &str) -> Option<&Name> {
        let position = self.position(member)?;
        self.members.get(position.checked_sub(1)?)
    }

    /// Returns the member to which `member` forwards entries; `None` for the tail and for keepers outside the chain.
    pub fn successor(&self, member: &str) -> Option<&Name> {
        let position = self.position(member)?;
        self.members.get(position + 1)
    }

    /// Returns the position of a member in the chain; the head is 0.
    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member == name)
    }

    /// Returns whether the keeper is a member of the chain.
    pub fn is_member(&self, name: &str) -> bool {
        self.members.iter().any(|member| member == name)
    }

    /// Returns whether the keeper votes on the next view.
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter.name == name)
    }

    /// Returns whether the named keepers are a majority of this view's voters. Names of keepers that are not voters do
    /// not count.
    pub fn has_majority<'names>(&self, names: impl Iterator<Item = &'names Name>) -> bool {
        let votes = names.filter(|name| self.is_voter(name)).count();
        votes * 2 > self.voters.len()
    }

    /// Returns the next view, in which `new_voter` replaces `voter` as a voter and is the tail.
    pub(crate) fn with_voter_replaced(&self, voter: &Name, new_voter: Voter) -> View {
        let mut next = self.next();
        next.members.retain(|member| member != voter);
        next.members.push(new_voter.name.clone());
        for replaced in next.voters.iter_mut().filter(|replaced| replaced.name == *voter) {
            *replaced = new_voter.clone();
        }
        next
    }

    /// Returns the next view, with `new_voter` as an additional voter and the tail.
    pub(crate) fn with_added_voter(&self, new_voter: Voter) -> View {
        let mut next = self.next();
        next.members.push(new_voter.name.clone());
        next.voters.push(new_voter);
        next
    }

    /// Returns the next view, with the voter `name` as the tail.
    pub(crate) fn with_added_member(&self, name: &Name) -> View {
        let mut next = self.next();
        next.members.push(name.clone());
        next
    }

    /// Returns the next view, in which `name` is not a member of the chain. If it is a voter, it remains one.
    pub(crate) fn without_member(&self, name: &Name) -> View {
        let mut next = self.next();
        next.members.retain(|member| member != name);
        next
    }

    /// Returns the next view, with these members and the same voters.
    pub(crate) fn with_members(&self, members: Vec<Name>) -> View {
        View { members, ..self.next() }
    }

    fn next(&self) -> View {
        View { version: self.version + 1, ..self.clone() }
    }
}
