//! Requests of nodes and operators.
mod ack_level;
mod commit;
mod commit_times;
mod polls;
mod quorum_contact;
mod voters;
mod writes;

use super::{Keeper, Output};
use crate::messages::{Reply, Request};

pub(super) use commit_times::CommitTimes;
pub(super) use polls::PendingPoll;
pub(super) use writes::PendingWrite;

impl Keeper {
    /// Takes a request. Its reply is an output of this step or, for a write and for a poll, perhaps of a later one.
    pub(super) fn handle_request(&mut self, token: u64, request: Request) {
        let reply = match request {
            Request::Status => Some(Reply::Status { status: self.status() }),
            Request::ChangeVoters { version, voters } => Some(self.change_voters(version, voters)),
            Request::Write { key, command } => self.write(token, key, command),
            Request::ReadStore | Request::ReadDocument | Request::Feed { .. } if !self.can_commit() => {
                Some(self.redirect())
            }
            Request::ReadDocument => Some(Reply::Document { document: self.store.adopted.clone() }),
            Request::ReadStore => Some(Reply::Store { store: Box::new(self.store.clone()) }),
            Request::Feed { node, enrolled, .. } if self.store.nodes.get(&node) != Some(&enrolled) => {
                Some(Reply::NotEnrolled)
            }
            Request::Feed { node, addr, last_change, .. } => self.poll(token, node, addr, last_change),
        };
        if let Some(reply) = reply {
            self.outputs.push(Output::Reply(token, reply));
        }
    }

    /// Another keeper answers such requests: the head or the tail of the view.
    fn redirect(&self) -> Reply {
        Reply::Redirect { view: self.view.clone() }
    }
}
