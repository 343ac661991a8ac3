//! A trip of one message between two simulated processes: cuts delay it, standing still holds it, and after four
//! seconds without an acknowledgement the kernel gives it up (§9.1).
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::Millis;
use std::sync::Arc;

const RETRANSMIT_AFTER: Millis = 250;
const USER_TIMEOUT: Millis = 4_000;

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Arrived,
    /// The machine is there and nobody listens.
    Refused,
    TimedOut,
}

type DeliveryHandler = Box<dyn FnOnce(&Arc<Simulation>, Delivery) + Send>;

pub fn deliver(
    core: &Arc<Simulation>,
    from: ProcessId,
    to: ProcessId,
    then: impl FnOnce(&Arc<Simulation>, Delivery) + Send + 'static,
) {
    let (sent, at) = {
        let mut m = core.lock();
        let d = m.delay_range;
        let mut at = m.now + d.0 + m.rng.below(d.1 - d.0 + 1);
        let loss = m.loss_per_mille;
        while m.rng.chance(loss) {
            at += RETRANSMIT_AFTER;
        }
        (m.now, at)
    };
    let then: DeliveryHandler = Box::new(then);
    core.schedule_action(at, move |c| attempt_delivery(c, from, to, sent, then));
}

fn attempt_delivery(
    core: &Arc<Simulation>,
    from: ProcessId,
    to: ProcessId,
    sent: Millis,
    then: DeliveryHandler,
) {
    let (now, cut, up, dark, still) = {
        let m = core.lock();
        let Some(h) = m.processes.get(to) else { return };
        (m.now, m.partitions.contains(&(from, to)), h.up, h.powered_off, h.paused_until)
    };
    if cut || (!up && dark) {
        if now < sent + USER_TIMEOUT {
            core.schedule_action(now + RETRANSMIT_AFTER, move |c| attempt_delivery(c, from, to, sent, then));
        } else {
            then(core, Delivery::TimedOut);
        }
    } else if up && still > now {
        core.schedule_action(still, move |c| attempt_delivery(c, from, to, sent, then));
    } else {
        then(core, if up { Delivery::Arrived } else { Delivery::Refused });
    }
}
