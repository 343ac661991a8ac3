//! Nodes' polls for changes, at the tail. Each poll renews the node's lease.
use crate::keeper::{Keeper, Output};
use crate::messages::Reply;
use crate::timing::{FEED_POLL_WAIT, NODE_LEASE};
use quincehatch_core::{ChangeNumber, Millis, Name};

/// A poll that waits for a change.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct PendingPoll {
    token: u64,
    node: Name,
    /// The newest change that the node has applied.
    last_change: ChangeNumber,
    /// It is answered by then, without a change if there is none.
    deadline: Millis,
}

impl Keeper {
    /// Answers a poll at once if there are changes after `last_change`, otherwise once there are, or after a while. The
    /// node counts its lease from when it sent the poll, so the poll may wait here.
    pub(super) fn poll(
        &mut self,
        token: u64,
        node: Name,
        addr: Name,
        last_change: ChangeNumber,
    ) -> Option<Reply> {
        let now = self.now;
        let applied = last_change.min(self.store.last_change);
        let lease_ms = self.node_leases().grant(now, &node, &addr, applied);
        if last_change != self.store.last_change {
            self.answered_polls += 1;
            return Some(self.changes_since(last_change, lease_ms));
        }
        // One poll per node: a new one takes the place of an older one, which is answered now.
        let polls = std::mem::take(&mut self.pending_polls);
        let (older, others) = polls.into_iter().partition(|poll| poll.node == node);
        self.pending_polls = others;
        self.answer_polls(older);
        let deadline = now + FEED_POLL_WAIT;
        self.pending_polls.push(PendingPoll { token, node, last_change, deadline });
        None
    }

    /// Answers the polls that wait no longer: there are changes, the time is up, or this keeper is not the tail any
    /// more.
    pub(super) fn answer_due_polls(&mut self) {
        let (can_commit, last_change, now) = (self.can_commit(), self.store.last_change, self.now);
        let is_due =
            |poll: &PendingPoll| !can_commit || poll.last_change < last_change || now >= poll.deadline;
        let polls = std::mem::take(&mut self.pending_polls);
        let (due, others) = polls.into_iter().partition(is_due);
        self.pending_polls = others;
        self.answer_polls(due);
    }

    fn answer_polls(&mut self, polls: Vec<PendingPoll>) {
        for poll in polls {
            let reply = match self.can_commit() {
                true => self.changes_since(poll.last_change, NODE_LEASE),
                false => self.redirect(),
            };
            self.answered_polls += 1;
            self.outputs.push(Output::Reply(poll.token, reply));
        }
    }
}
