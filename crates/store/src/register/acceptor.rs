//! The acceptor: a voter's role in deciding a view.
use crate::messages::{AcceptedView, PeerMessage};
use crate::view::{Ballot, View};
use quincehatch_core::{Version, messages};

messages! {
    /// The durable state of a voter. A change must be on disk before the answer leaves the keeper.
    #[derive(Eq, Default)]
    pub struct Acceptor {
        /// The highest ballot that the voter has promised; lower ballots are rejected.
        pub promised: Ballot,
        /// The newest view that the voter has accepted, whether it is decided or not.
        pub accepted: Option<AcceptedView>
    }
}

/// A voter's answer to a proposer.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptorReply {
    /// The answer.
    pub message: PeerMessage,
    /// Whether the acceptor's state has changed and must be durable before the answer leaves the keeper.
    pub state_changed: bool,
}

impl Acceptor {
    /// Returns the version of the newest view that this voter has accepted, or 0. The voter does not renew the lease of
    /// an older view.
    pub fn accepted_version(&self) -> Version {
        self.accepted.as_ref().map_or(0, |accepted| accepted.view.version)
    }

    /// Returns the answer to a proposer's message; `None` if the message is not for an acceptor. `decided` is the
    /// version of the newest decided view that this keeper knows; it is not older than the message's base.
    pub fn step(&mut self, decided: Version, message: &PeerMessage) -> Option<AcceptorReply> {
        match message {
            PeerMessage::Prepare { ballot, base } => Some(self.prepare(decided, *ballot, base)),
            PeerMessage::Accept { ballot, base, view } => Some(self.accept(decided, *ballot, base, view)),
            _ => None,
        }
    }

    fn prepare(&mut self, decided: Version, ballot: Ballot, base: &View) -> AcceptorReply {
        // The same ballot may be prepared twice and gets the same answer: a keeper that runs at the address of a voter
        // that it replaces receives the messages for both names.
        let ok = self.may_vote(decided, ballot, base);
        let state_changed = ok && ballot > self.promised;
        if ok {
            self.promised = ballot;
        }
        let accepted = if ok { self.accepted_after(base) } else { None };
        let message = PeerMessage::Promise { ballot, ok, highest_promised: self.promised, accepted };
        AcceptorReply { message, state_changed }
    }

    fn accept(&mut self, decided: Version, ballot: Ballot, base: &View, view: &View) -> AcceptorReply {
        let ok = self.may_vote(decided, ballot, base);
        if ok {
            self.promised = ballot;
            self.accepted = Some(AcceptedView { ballot, view: view.clone() });
        }
        let message = PeerMessage::Accepted { ballot, ok, highest_promised: self.promised };
        AcceptorReply { message, state_changed: ok }
    }

    /// Returns the accepted view if it belongs to the instance that decides the view after `base`.
    fn accepted_after(&self, base: &View) -> Option<AcceptedView> {
        let version = base.version + 1;
        self.accepted.clone().filter(|accepted| accepted.view.version == version)
    }

    /// Returns whether this voter may vote for the ballot: the instance must not be decided already, and the ballot
    /// must not be lower than a promised one.
    fn may_vote(&self, decided: Version, ballot: Ballot, base: &View) -> bool {
        let is_outdated = base.version < decided;
        !is_outdated && ballot >= self.promised
    }
}
