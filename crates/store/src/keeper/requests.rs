//! Requests from nodes and operators.
mod ack_level;
mod commit;
mod commit_times;
mod polls;
mod quorum_contact;
mod quota;
mod reply_rate_limiter;
mod voters;
mod writes;

use super::{Keeper, Output};
use crate::messages::{Reply, Request};
use polls::Poll;

pub(super) use commit_times::CommitTimes;
pub(super) use polls::Polls;
pub(super) use quota::Quota;
pub(super) use writes::PendingWrite;

impl Keeper {
    /// Handles a request. The reply is an output of this step or, for a write or a poll, possibly of a later one.
    pub(super) fn handle_request(&mut self, token: u64, request: Request) {
        if let Some(poll) = Poll::from_request(token, &request) {
            return self.handle_poll(poll);
        }
        let reply = match request {
            Request::CurrentView => Some(self.redirect()),
            Request::Status => Some(Reply::Status { status: self.status() }),
            Request::ChangeVoters { version, voters } => Some(self.change_voters(version, voters)),
            Request::Write { key, command } => self.handle_write(token, key, command),
            Request::ReadStore | Request::ReadDocument | Request::SettleQuota { .. } | Request::ReadQuota
                if !self.can_commit() =>
            {
                Some(self.redirect())
            }
            Request::ReadDocument => Some(Reply::Document { document: self.store.adopted.clone() }),
            Request::ReadStore => Some(Reply::Store { store: Box::new(self.store.clone()) }),
            Request::SettleQuota { node, enrolled, claims } => {
                Some(self.settle_quota(&node, enrolled, &claims))
            }
            Request::ReadQuota => Some(Reply::Quota { tenants: self.quota_usage() }),
            // Handled above as a poll.
            Request::Feed { .. } => None,
        };
        if let Some(reply) = reply {
            self.outputs.push(Output::Reply(token, reply));
        }
    }

    /// Returns the reply that refers the client to the current view, whose head or tail answers the request.
    fn redirect(&self) -> Reply {
        Reply::Redirect { view: self.view.clone() }
    }
}
