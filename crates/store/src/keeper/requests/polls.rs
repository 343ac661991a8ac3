//! Nodes' polls for changes, at the tail. Each poll renews the node's lease.
use super::answer_budget::AnswerBudget;
use crate::keeper::{Keeper, Output};
use crate::messages::{Reply, Request};
use crate::timing::{MAX_PUT_OFF, NODE_LEASE, feed_poll_wait};
use quincehatch_core::{ChangeNumber, Millis, Name};
use std::collections::BTreeMap;

/// The bytes of the answers to polls, by the newest change that a node has applied.
type AnswerLengths = BTreeMap<ChangeNumber, u64>;

/// One look at all polls that wait.
#[derive(Default)]
struct Round {
    lengths: AnswerLengths,
    is_budget_spent: bool,
}

/// What becomes of a poll that waits.
enum Decision {
    Wait,
    Answer,
    /// The node is to ask again: it has waited long, and may wait no longer.
    SendAway,
}

/// What a node polls with.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Poll {
    pub token: u64,
    pub node: Name,
    pub addr: Name,
    /// The newest change that the node has applied.
    pub last_change: ChangeNumber,
    /// The entry that enrolled the node's process.
    pub enrolled: ChangeNumber,
}

/// A poll that waits for a change, or for this keeper to serve.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct PendingPoll {
    poll: Poll,
    /// The node's lease was renewed when the poll came.
    is_leased: bool,
    /// It is answered by then, without a change if there is none.
    deadline: Millis,
}

/// The polls at a keeper, in the order in which they came.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Polls {
    pending: Vec<PendingPoll>,
    budget: AnswerBudget,
    /// Answers since the process began, for operators.
    pub answered: u64,
}

impl Polls {
    pub fn new(now: Millis) -> Self {
        Self { pending: Vec::new(), budget: AnswerBudget::new(now), answered: 0 }
    }

    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// One poll per node: a new one takes the place of an older one.
    fn take_older(&mut self, node: &Name) -> Vec<PendingPoll> {
        let is_older = |pending: &PendingPoll| pending.poll.node == *node;
        if !self.pending.iter().any(is_older) {
            return Vec::new();
        }
        let (older, others) = std::mem::take(&mut self.pending).into_iter().partition(is_older);
        self.pending = others;
        older
    }
}

impl Keeper {
    /// Answers a poll at once if there are changes after its last one, otherwise once there are, or after a while. The
    /// node counts its lease from when it sent the poll, so the poll may wait here.
    ///
    /// A tail that does not serve yet keeps the poll too: sent away, hundreds of nodes would come back at once, and ask
    /// all other keepers for a newer view.
    pub(super) fn handle_poll(&mut self, poll: Poll) {
        let is_leased = self.can_commit();
        if !is_leased && !self.is_tail() {
            let redirect = self.redirect();
            return self.answer_poll(poll.token, redirect);
        }
        if is_leased && !self.renew_lease(&poll) {
            return self.answer_poll(poll.token, Reply::NotEnrolled);
        }
        // The node does not wait for the older one any more: it is answered without changes, and so without a lease.
        for older in self.polls.take_older(&poll.node) {
            let redirect = self.redirect();
            self.answer_poll(older.poll.token, redirect);
        }
        let deadline = self.now + feed_poll_wait(self.store.nodes.len());
        // It is answered at the end of this step if there is a change that the node lacks.
        self.polls.pending.push(PendingPoll { poll, is_leased, deadline });
    }

    /// Answers the polls that wait no longer: there are changes, the time is up, or this keeper is not the tail any
    /// more. Those that came first are answered first, as far as the budget goes.
    pub(super) fn answer_due_polls(&mut self) {
        let may_be_due = |pending: &PendingPoll| self.is_time_up(pending) || self.lacks_changes(pending);
        if !self.polls.pending.iter().any(may_be_due) {
            return;
        }
        let mut round = Round::default();
        for pending in std::mem::take(&mut self.polls.pending) {
            match self.decide(&pending, &mut round) {
                Decision::Wait => self.polls.pending.push(pending),
                Decision::Answer => self.answer_pending(pending),
                Decision::SendAway => {
                    let redirect = self.redirect();
                    self.answer_poll(pending.poll.token, redirect);
                }
            }
        }
    }

    fn decide(&mut self, pending: &PendingPoll, round: &mut Round) -> Decision {
        if !self.lacks_changes(pending) {
            return if self.is_time_up(pending) { Decision::Answer } else { Decision::Wait };
        }
        // Whoever comes behind one that must wait waits too: short answers would else keep a long one waiting.
        round.is_budget_spent = round.is_budget_spent || !self.pay_for(pending, &mut round.lengths);
        if !round.is_budget_spent {
            Decision::Answer
        } else if self.now < pending.deadline + MAX_PUT_OFF {
            Decision::Wait
        } else {
            Decision::SendAway
        }
    }

    fn pay_for(&mut self, pending: &PendingPoll, lengths: &mut AnswerLengths) -> bool {
        let last_change = pending.poll.last_change;
        let bytes = *lengths.entry(last_change).or_insert_with(|| self.answer_length(last_change));
        self.polls.budget.pay(self.now, bytes)
    }

    fn is_time_up(&self, pending: &PendingPoll) -> bool {
        !self.is_tail() || self.now >= pending.deadline
    }

    fn lacks_changes(&self, pending: &PendingPoll) -> bool {
        pending.poll.last_change != self.store.last_change && self.can_commit()
    }

    fn answer_pending(&mut self, pending: PendingPoll) {
        let PendingPoll { poll, is_leased, .. } = pending;
        let reply = if !self.can_commit() {
            self.redirect()
        } else if !is_leased && !self.renew_lease(&poll) {
            Reply::NotEnrolled
        } else {
            self.changes_since(poll.last_change, NODE_LEASE)
        };
        self.answer_poll(poll.token, reply);
    }

    /// Renews the lease of the node's process; `false` if it is not enrolled.
    fn renew_lease(&mut self, poll: &Poll) -> bool {
        if self.store.nodes.get(&poll.node) != Some(&poll.enrolled) {
            return false;
        }
        let (now, applied) = (self.now, poll.last_change.min(self.store.last_change));
        self.node_leases().grant(now, &poll.node, &poll.addr, applied);
        self.note_quota_contact(&poll.node);
        true
    }

    fn answer_poll(&mut self, token: u64, reply: Reply) {
        self.polls.answered += 1;
        self.outputs.push(Output::Reply(token, reply));
    }
}

impl Poll {
    /// The poll of a request; `None` if it is another request.
    pub fn from_request(token: u64, request: &Request) -> Option<Poll> {
        let Request::Feed { node, addr, last_change, enrolled, .. } = request else { return None };
        let (node, addr) = (node.clone(), addr.clone());
        Some(Poll { token, node, addr, last_change: *last_change, enrolled: *enrolled })
    }
}
