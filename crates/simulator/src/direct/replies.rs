//! Replies that leave a simulated server, and the loss of them.
use super::delivery::{Delivery, deliver};
use super::sent_statement::StampedAnswer;
use super::server::ReplyTarget;
use super::server_group::{GroupState, ServerGroup};
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::Millis;
use quincehatch_proxy::ports::ServerReply;
use std::sync::Arc;

/// A node gives a request up that an unresponsive server does not answer for so long.
pub(super) const UNRESPONSIVE_TIMEOUT: Millis = 4_000;
/// Share of lost replies whose connection is reset; the others are never answered.
const RESETS_PER_MILLE: u64 = 500;

/// What becomes of a reply that leaves a server.
enum ReplyFate {
    Sent {
        node: ProcessId,
        server: ProcessId,
    },
    /// It is lost, and the connection seems well.
    Swallowed,
    /// Its connection is gone.
    Dropped,
}

impl ServerGroup {
    /// A reply leaves a server, unless it is lost, with or without its connection.
    pub fn send_reply(
        self: &Arc<Self>,
        simulation: &Arc<Simulation>,
        reply: ServerReply,
        target: ReplyTarget,
    ) {
        let ReplyTarget { connection, reply_to } = target;
        let resets = simulation.lock().rng.chance(RESETS_PER_MILLE);
        match self.with(|state| state.reply_fate(connection, resets)) {
            ReplyFate::Dropped => drop(reply_to),
            ReplyFate::Swallowed => {
                let give_up_at = simulation.now() + UNRESPONSIVE_TIMEOUT;
                simulation.schedule_action(give_up_at, move |_| drop(reply_to));
            }
            ReplyFate::Sent { node, server } => {
                deliver(simulation, server, node, move |_, delivery| {
                    if delivery == Delivery::Arrived {
                        let _ = reply_to.send(Ok(reply));
                    }
                });
            }
        }
    }
}

impl GroupState {
    fn reply_fate(&mut self, id: u64, resets: bool) -> ReplyFate {
        let Some(connection) = self.connections.get(&id) else { return ReplyFate::Dropped };
        let node = connection.node;
        let server = &mut self.servers[connection.server];
        if server.replies_to_lose == 0 {
            return ReplyFate::Sent { node, server: server.pid };
        }
        server.replies_to_lose -= 1;
        if resets {
            self.break_connection(id);
            return ReplyFate::Dropped;
        }
        ReplyFate::Swallowed
    }

    /// Stamps a success, so that it can be told from any other.
    pub fn add_stamp(&mut self, statement: u64, server: usize, reply: &mut ServerReply) {
        if reply.rejection.is_none() {
            let answer = StampedAnswer { statement, rows: reply.rows.clone() };
            reply.stamp = Some(self.ledger.stamp(&self.servers[server].name, answer));
        }
    }
}
