//! A trip of one message between two simulated processes: cuts delay it, standing still holds it, and after four
//! seconds without an acknowledgement the kernel gives it up (§9.1).
use crate::fleet::core::{Core, Pid};
use quincehatch_core::Millis;
use std::sync::Arc;

const RESEND: Millis = 250;
const USER_TIMEOUT: Millis = 4_000;

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trip {
    Arrived,
    /// The machine is there and nobody listens.
    Nobody,
    Lost,
}

type Then = Box<dyn FnOnce(&Arc<Core>, Trip) + Send>;

pub fn carry(core: &Arc<Core>, from: Pid, to: Pid, then: impl FnOnce(&Arc<Core>, Trip) + Send + 'static) {
    let (sent, at) = {
        let mut m = core.lock();
        let d = m.delay;
        let mut at = m.now + d.0 + m.rng.below(d.1 - d.0 + 1);
        let loss = m.loss_pm;
        while m.rng.chance(loss) {
            at += RESEND;
        }
        (m.now, at)
    };
    let then: Then = Box::new(then);
    core.later(at, move |c| arrive(c, from, to, sent, then));
}

fn arrive(core: &Arc<Core>, from: Pid, to: Pid, sent: Millis, then: Then) {
    let (now, cut, up, dark, still) = {
        let m = core.lock();
        let Some(h) = m.hosts.get(to) else { return };
        (m.now, m.cuts.contains(&(from, to)), h.up, h.dark, h.paused_until)
    };
    if cut || (!up && dark) {
        if now < sent + USER_TIMEOUT {
            core.later(now + RESEND, move |c| arrive(c, from, to, sent, then));
        } else {
            then(core, Trip::Lost);
        }
    } else if up && still > now {
        core.later(still, move |c| arrive(c, from, to, sent, then));
    } else {
        then(core, if up { Trip::Arrived } else { Trip::Nobody });
    }
}
