//! Nodes' long polls for changes, at the tail. Each poll renews the node's lease.
use super::reply_rate_limiter::ReplyRateLimiter;
use crate::keeper::{Keeper, Output};
use crate::messages::{Reply, Request};
use crate::timing::{MAX_POLL_DELAY, NODE_LEASE, feed_poll_wait};
use quincehatch_core::{ChangeNumber, Millis, Name};
use std::collections::BTreeMap;

/// The sizes in bytes of the replies to polls, by the newest change that the polling node has applied.
type ReplySizes = BTreeMap<ChangeNumber, u64>;

/// State of one pass over all pending polls.
#[derive(Default)]
struct AnswerPass {
    reply_sizes: ReplySizes,
    is_rate_limited: bool,
}

/// What to do with a pending poll.
enum Decision {
    Wait,
    Answer,
    /// The rate limit has delayed the reply for as long as allowed, so the node is to poll again.
    Redirect,
}

/// A node's poll for changes.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Poll {
    pub token: u64,
    pub node: Name,
    pub addr: Name,
    /// The newest change that the node has applied.
    pub last_change: ChangeNumber,
    /// The number of the entry that enrolled the node's process.
    pub enrolled: ChangeNumber,
}

/// A poll that waits for a change, or until this keeper serves.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct PendingPoll {
    poll: Poll,
    /// Whether the node's lease was renewed when the poll arrived.
    is_lease_renewed: bool,
    /// When the poll is answered at the latest, without changes if there are none.
    deadline: Millis,
}

/// The pending polls at a keeper, in the order of their arrival.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Polls {
    pending: Vec<PendingPoll>,
    rate_limiter: ReplyRateLimiter,
    /// Number of polls answered since the process started, for metrics.
    pub answered: u64,
}

impl Polls {
    pub fn new(now: Millis) -> Self {
        Self { pending: Vec::new(), rate_limiter: ReplyRateLimiter::new(now), answered: 0 }
    }

    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Removes and returns the pending polls of a node, which a newer poll of that node supersedes.
    fn remove_superseded(&mut self, node: &Name) -> Vec<PendingPoll> {
        let is_superseded = |pending: &PendingPoll| pending.poll.node == *node;
        if !self.pending.iter().any(is_superseded) {
            return Vec::new();
        }
        let (older, remaining) = std::mem::take(&mut self.pending).into_iter().partition(is_superseded);
        self.pending = remaining;
        older
    }
}

impl Keeper {
    /// Answers a poll in this step if the node lacks changes, otherwise when there are changes or the poll's deadline
    /// has passed. The node counts its lease term from when it sent the poll, so the wait does not extend the lease.
    ///
    /// A tail that does not serve yet retains the poll too: if it redirected hundreds of nodes, all of them would retry
    /// immediately and query all other keepers for a newer view.
    pub(super) fn handle_poll(&mut self, poll: Poll) {
        let grants_lease = self.can_commit();
        if !grants_lease && !self.is_tail() {
            let redirect = self.redirect();
            return self.answer_poll(poll.token, redirect);
        }
        if grants_lease && !self.renew_lease(&poll) {
            return self.answer_poll(poll.token, Reply::NotEnrolled);
        }
        // The node no longer waits for its older polls: they are redirected, so the replies grant no lease.
        for older in self.polls.remove_superseded(&poll.node) {
            let redirect = self.redirect();
            self.answer_poll(older.poll.token, redirect);
        }
        let deadline = self.now + feed_poll_wait(self.store.nodes.len());
        // The poll is answered at the end of this step if there is a change that the node lacks.
        self.polls.pending.push(PendingPoll { poll, is_lease_renewed: grants_lease, deadline });
    }

    /// Answers the polls for which there are changes or whose deadline has passed, and all polls if this keeper is no
    /// longer the tail. Polls are answered in the order of their arrival, within the rate limit.
    pub(super) fn answer_due_polls(&mut self) {
        let may_be_due = |pending: &PendingPoll| self.is_wait_over(pending) || self.lacks_changes(pending);
        if !self.polls.pending.iter().any(may_be_due) {
            return;
        }
        let mut pass = AnswerPass::default();
        for pending in std::mem::take(&mut self.polls.pending) {
            match self.decide(&pending, &mut pass) {
                Decision::Wait => self.polls.pending.push(pending),
                Decision::Answer => self.answer_pending(pending),
                Decision::Redirect => {
                    let redirect = self.redirect();
                    self.answer_poll(pending.poll.token, redirect);
                }
            }
        }
    }

    fn decide(&mut self, pending: &PendingPoll, pass: &mut AnswerPass) -> Decision {
        if !self.lacks_changes(pending) {
            return if self.is_wait_over(pending) { Decision::Answer } else { Decision::Wait };
        }
        // Polls behind one that the rate limit delays are delayed too: otherwise small replies could starve a large
        // one.
        pass.is_rate_limited = pass.is_rate_limited || !self.try_take_tokens(pending, &mut pass.reply_sizes);
        if !pass.is_rate_limited {
            Decision::Answer
        } else if self.now < pending.deadline + MAX_POLL_DELAY {
            Decision::Wait
        } else {
            Decision::Redirect
        }
    }

    fn try_take_tokens(&mut self, pending: &PendingPoll, reply_sizes: &mut ReplySizes) -> bool {
        let last_change = pending.poll.last_change;
        let bytes = *reply_sizes.entry(last_change).or_insert_with(|| self.reply_size(last_change));
        self.polls.rate_limiter.try_take(self.now, bytes)
    }

    fn is_wait_over(&self, pending: &PendingPoll) -> bool {
        !self.is_tail() || self.now >= pending.deadline
    }

    fn lacks_changes(&self, pending: &PendingPoll) -> bool {
        pending.poll.last_change != self.store.last_change && self.can_commit()
    }

    fn answer_pending(&mut self, pending: PendingPoll) {
        let PendingPoll { poll, is_lease_renewed, .. } = pending;
        let reply = if !self.can_commit() {
            self.redirect()
        } else if !is_lease_renewed && !self.renew_lease(&poll) {
            Reply::NotEnrolled
        } else {
            self.changes_since(poll.last_change, NODE_LEASE)
        };
        self.answer_poll(poll.token, reply);
    }

    /// Renews the lease of the node's process; `false` if that process is not enrolled.
    fn renew_lease(&mut self, poll: &Poll) -> bool {
        if self.store.nodes.get(&poll.node) != Some(&poll.enrolled) {
            return false;
        }
        let (now, applied) = (self.now, poll.last_change.min(self.store.last_change));
        self.node_leases().grant(now, &poll.node, &poll.addr, applied);
        self.record_quota_contact(&poll.node);
        true
    }

    fn answer_poll(&mut self, token: u64, reply: Reply) {
        self.polls.answered += 1;
        self.outputs.push(Output::Reply(token, reply));
    }
}

impl Poll {
    /// Returns the poll that a request contains; `None` for other kinds of requests.
    pub fn from_request(token: u64, request: &Request) -> Option<Poll> {
        let Request::Feed { node, addr, last_change, enrolled, .. } = request else { return None };
        let (node, addr) = (node.clone(), addr.clone());
        Some(Poll { token, node, addr, last_change: *last_change, enrolled: *enrolled })
    }
}
