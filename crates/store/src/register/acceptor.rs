//! The voter's part in deciding a view.
use crate::messages::{AcceptedView, PeerMessage};
use crate::view::{Ballot, View};
use quincehatch_core::{Version, messages};

messages! {
    /// What a voter must never forget. A change is durable before the answer leaves.
    #[derive(Eq, Default)]
    pub struct Acceptor {
        /// The highest ballot promised; lower ones are rejected.
        pub promised: Ballot,
        /// The newest view accepted, decided or not.
        pub accepted: Option<AcceptedView>
    }
}

/// A voter's answer to a proposer.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptorReply {
    /// The answer.
    pub message: PeerMessage,
    /// Whether the acceptor's state has changed and must be durable before the answer leaves.
    pub is_changed: bool,
}

impl Acceptor {
    /// The version of the newest view that this voter has accepted. It renews the lease of no older view.
    pub fn accepted_version(&self) -> Version {
        self.accepted.as_ref().map_or(0, |accepted| accepted.view.version)
    }

    /// Answers a proposer; `None` if the message is not for an acceptor. `decided` is the version of the newest decided
    /// view known here, at least as new as the message's base.
    pub fn step(&mut self, decided: Version, message: &PeerMessage) -> Option<AcceptorReply> {
        match message {
            PeerMessage::Prepare { ballot, base } => Some(self.prepare(decided, *ballot, base)),
            PeerMessage::Accept { ballot, base, view } => Some(self.accept(decided, *ballot, base, view)),
            _ => None,
        }
    }

    fn prepare(&mut self, decided: Version, ballot: Ballot, base: &View) -> AcceptorReply {
        // The same ballot may be prepared twice and gets the same answer: a keeper that takes over the address of
        // another voter is asked under both names.
        let ok = self.may_take(decided, ballot, base);
        let is_changed = ok && ballot > self.promised;
        if ok {
            self.promised = ballot;
        }
        let accepted = if ok { self.accepted_after(base) } else { None };
        let message = PeerMessage::Promise { ballot, ok, highest_promised: self.promised, accepted };
        AcceptorReply { message, is_changed }
    }

    fn accept(&mut self, decided: Version, ballot: Ballot, base: &View, view: &View) -> AcceptorReply {
        let ok = self.may_take(decided, ballot, base);
        if ok {
            self.promised = ballot;
            self.accepted = Some(AcceptedView { ballot, view: view.clone() });
        }
        let message = PeerMessage::Accepted { ballot, ok, highest_promised: self.promised };
        AcceptorReply { message, is_changed: ok }
    }

    /// The accepted view, if it belongs to the instance that decides what follows `base`.
    fn accepted_after(&self, base: &View) -> Option<AcceptedView> {
        let version = base.version + 1;
        self.accepted.clone().filter(|accepted| accepted.view.version == version)
    }

    /// A decided instance takes no more votes, and no ballot below a promised one does.
    fn may_take(&self, decided: Version, ballot: Ballot, base: &View) -> bool {
        let is_outdated = base.version < decided;
        !is_outdated && ballot >= self.promised
    }
}
