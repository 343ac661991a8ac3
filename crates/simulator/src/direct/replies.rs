//! Sending and losing the replies of a simulated server.
use super::delivery::{Delivery, deliver};
use super::sent_statement::StampedAnswer;
use super::server::ReplyTarget;
use super::server_group::{GroupState, ServerGroup};
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::Millis;
use quincehatch_proxy::ports::ServerReply;
use std::sync::Arc;

/// A node abandons a request that an unresponsive server does not answer within this time.
pub(super) const UNRESPONSIVE_TIMEOUT: Millis = 4_000;
/// Share of lost replies whose connection is reset. The other requests stay unanswered on a connection that looks
/// healthy.
const RESETS_PER_MILLE: u64 = 500;

/// What happens to a reply of a server.
enum ReplyFate {
    Sent {
        node: ProcessId,
        server: ProcessId,
    },
    /// The reply is lost, while the connection looks healthy.
    ReplyLost,
    /// The connection no longer exists.
    ConnectionLost,
}

impl ServerGroup {
    /// Sends a server's reply to its node, unless a fault loses the reply alone or together with its connection.
    pub fn send_reply(
        self: &Arc<Self>,
        simulation: &Arc<Simulation>,
        reply: ServerReply,
        target: ReplyTarget,
    ) {
        let ReplyTarget { connection, reply_to } = target;
        let resets = simulation.lock().rng.chance(RESETS_PER_MILLE);
        match self.with(|state| state.reply_fate(connection, resets)) {
            ReplyFate::ConnectionLost => drop(reply_to),
            ReplyFate::ReplyLost => {
                let abandoned_at = simulation.now() + UNRESPONSIVE_TIMEOUT;
                simulation.schedule_action(abandoned_at, move |_| drop(reply_to));
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
        let Some(connection) = self.connections.get(&id) else { return ReplyFate::ConnectionLost };
        let node = connection.node;
        let server = &mut self.servers[connection.server];
        if server.replies_to_lose == 0 {
            return ReplyFate::Sent { node, server: server.pid };
        }
        server.replies_to_lose -= 1;
        if resets {
            self.break_connection(id);
            return ReplyFate::ConnectionLost;
        }
        ReplyFate::ReplyLost
    }

    /// Marks a successful reply with a unique stamp, so that the ledger can tell which statement it answers.
    pub fn add_stamp(&mut self, statement: u64, server: usize, reply: &mut ServerReply) {
        if reply.rejection.is_none() {
            let answer = StampedAnswer { statement, rows: reply.rows.clone() };
            reply.stamp = Some(self.ledger.stamp(&self.servers[server].name, answer));
        }
    }
}
