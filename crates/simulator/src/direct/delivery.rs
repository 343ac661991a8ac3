//! Delivery of one message between two simulated processes, for protocols that are not simulated as streams.
//!
//! A partition delays the message, and a suspended process receives it once it resumes. After [`TCP_USER_TIMEOUT`]
//! without an acknowledgement the kernel abandons the message.
use crate::fleet::network::{RETRANSMIT_AFTER, TCP_USER_TIMEOUT};
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::Millis;
use std::sync::Arc;

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The message reached the receiver.
    Arrived,
    /// The machine is reachable, but no process listens there.
    Refused,
    /// The message was abandoned because no acknowledgement arrived in time.
    TimedOut,
}

type OnEnd = Box<dyn FnOnce(&Arc<Simulation>, Delivery) + Send>;

/// A message that is not yet delivered.
struct PendingMessage {
    from: ProcessId,
    to: ProcessId,
    sent_at: Millis,
    on_end: OnEnd,
}

/// Sends a message, and calls `on_end` with the result of its delivery.
pub fn deliver(
    simulation: &Arc<Simulation>,
    from: ProcessId,
    to: ProcessId,
    on_end: impl FnOnce(&Arc<Simulation>, Delivery) + Send + 'static,
) {
    let (sent_at, arrives_at) = {
        let mut state = simulation.lock();
        let (least, most) = state.delay_range;
        let mut at = state.now + least + state.rng.below(most - least + 1);
        let loss = state.loss_per_mille;
        while state.rng.chance(loss) {
            at += RETRANSMIT_AFTER;
        }
        (state.now, at)
    };
    let message = PendingMessage { from, to, sent_at, on_end: Box::new(on_end) };
    simulation.schedule_action(arrives_at, move |simulation| message.arrive(simulation));
}

impl PendingMessage {
    fn arrive(self, simulation: &Arc<Simulation>) {
        let state = simulation.lock();
        let now = state.now;
        let Some(receiver) = state.processes.get(self.to) else { return };
        let (is_up, powered_off, paused_until) =
            (receiver.is_up, receiver.powered_off, receiver.paused_until);
        let unreachable = state.partitions.contains(&(self.from, self.to)) || (!is_up && powered_off);
        drop(state);
        if unreachable && now < self.sent_at + TCP_USER_TIMEOUT {
            simulation.schedule_action(now + RETRANSMIT_AFTER, move |simulation| self.arrive(simulation));
        } else if unreachable {
            (self.on_end)(simulation, Delivery::TimedOut);
        } else if is_up && paused_until > now {
            simulation.schedule_action(paused_until, move |simulation| self.arrive(simulation));
        } else {
            (self.on_end)(simulation, if is_up { Delivery::Arrived } else { Delivery::Refused });
        }
    }
}
