//! A promoter that carries calls out seconds after they arrived, while the server that it was called for receives nothing.
use super::faults::Fault;
use super::schedule::RandomGaps;
use super::server_group::{Interruption, ServerGroup};
use super::setup::DirectFleet;
use crate::fleet::simulation::Simulation;
use quincehatch_core::Millis;
use std::sync::Arc;

/// Shortest time between the starts of two slow periods, and the range of the random addition to it.
const MIN_GAP: Millis = 4_000;
const GAP_SPREAD: Millis = 6_000;
/// Shortest duration of a slow period, and the range of the random addition to it.
const MIN_TIME: Millis = 4_000;
const TIME_SPREAD: Millis = 6_000;
/// Shortest delay of a call, and the range of the random addition to it.
const MIN_DELAY: Millis = 500;
const DELAY_SPREAD: Millis = 5_500;
/// Longest time from a call to the interruption of replication.
const MAX_INTERRUPTION_START: Millis = 2_000;
/// Shortest duration of an interruption, and the range of the random addition to it.
const MIN_INTERRUPTION_TIME: Millis = 2_000;
const INTERRUPTION_TIME_SPREAD: Millis = 5_000;
/// Slow periods start within this part of the period of faults.
const SLOW_PERIODS: Millis = 26_000;
/// Share of slow periods in which the coordinator is suspended or crashes during its handover.
const TRAPS_PER_MILLE: u64 = 300;
const COORDINATOR_PAUSE: Millis = 4_000;

/// Trace points of a handover at which the coordinator is suspended or crashes.
const HANDOVER_PHASES: &[&str] = &[
    "handover: other replicas are suspended",
    "handover: the promotion is requested",
    "handover: the successor is promoted",
];

impl ServerGroup {
    /// Runs `act` when the promoter carries out a call for `server` that arrives now.
    pub(super) fn when_carried_out(
        self: &Arc<Self>,
        simulation: &Arc<Simulation>,
        server: &str,
        act: impl FnOnce(&Arc<Simulation>) + Send + 'static,
    ) {
        let now = simulation.now();
        let (carried_out, interruption) = self.with(|state| {
            state.last_call_carried_out = state.last_call_carried_out.max(now + state.promoter_delay);
            (state.last_call_carried_out, state.next_interruption.take())
        });
        if let Some(interruption) = interruption {
            self.interrupt_replication(simulation, server, interruption);
        }
        if carried_out == now {
            act(simulation);
        } else {
            simulation.schedule_action(carried_out, move |simulation| act(simulation));
        }
    }

    fn interrupt_replication(
        self: &Arc<Self>,
        simulation: &Simulation,
        server: &str,
        interruption: Interruption,
    ) {
        let Some(index) = self.with(|state| state.server_named(server)) else { return };
        let begin = simulation.now() + interruption.after;
        for (at, stopped) in [(begin, true), (begin + interruption.time, false)] {
            let group = self.clone();
            simulation.schedule_action(at, move |_| {
                group.with(|state| state.servers[index].replication_stopped = stopped);
            });
        }
    }
}

impl DirectFleet {
    fn begin_slow_period(self: &Arc<Self>) {
        let (delay, time, interruption, trap) = {
            let mut state = self.simulation.lock();
            let rng = &mut state.rng;
            let interruption = Interruption {
                after: rng.below(MAX_INTERRUPTION_START),
                time: MIN_INTERRUPTION_TIME + rng.below(INTERRUPTION_TIME_SPREAD),
            };
            let phase = rng.pick(HANDOVER_PHASES).copied().unwrap_or_default();
            let pause = rng.chance(500).then_some(COORDINATOR_PAUSE);
            let trap = rng.chance(TRAPS_PER_MILLE).then_some(Fault::Trap { phase, pause });
            (MIN_DELAY + rng.below(DELAY_SPREAD), MIN_TIME + rng.below(TIME_SPREAD), interruption, trap)
        };
        let now = self.simulation.now();
        self.group.with(|state| {
            state.promoter_delay = delay;
            state.next_interruption = Some(interruption);
            state
                .ledger
                .event_log
                .push(format!("{now} the promoter takes {delay} ms for {time} ms, {interruption:?}"));
        });
        if let Some(trap) = trap {
            self.inject(trap);
        }
        self.inject(Fault::RequestHandover);
        let group = self.group.clone();
        self.simulation.schedule_action(now + time, move |_| group.with(|state| state.promoter_delay = 0));
    }

    /// Schedules random slow periods of the promoter from `from` on, each with a requested handover.
    pub(super) fn schedule_slow_promoter(self: &Arc<Self>, from: Millis) {
        let gaps = RandomGaps { shortest: MIN_GAP, spread: GAP_SPREAD };
        self.schedule_repeatedly(from, SLOW_PERIODS, gaps, |fleet| fleet.begin_slow_period());
    }
}
