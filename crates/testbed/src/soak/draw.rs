//! Draws the fault script of a soak run.
use super::{FAULTS_FROM, HEALED_BEFORE_END};
use crate::scenario_steps::{lag, lose_answers, reset, stall};
use crate::script::{Action, Step, Target, step};
use crate::shape::Shape;
use quincehatch_core::Millis;
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

/// Mean time between the starts of two series of faults.
const SERIES_GAP: Millis = 1_300;
/// Steps of one series follow each other within this time.
const SERIES_STEP: Millis = 1_500;
/// Shortest duration of a fault, and the range of the drawn time that is added to it.
const MIN_DOWN: Millis = 200;
const DOWN_RANGE: Millis = 4_000;
/// Largest number of hangup signals in one series.
const MAX_HANGUPS: u64 = 4;

/// End of the current fault by process; a process has one fault at a time.
type BusyUntil = BTreeMap<String, Millis>;

struct ScriptDraw<'shape> {
    rng: Rng,
    shape: &'shape Shape,
    healed_at: Millis,
    busy: BusyUntil,
    steps: Vec<Step>,
}

/// Draws the script of a run of `seconds`, in order of time. At any time, less than half of the keepers and at most one
/// server of each group have a fault. All faults end `HEALED_BEFORE_END` before the end of the run.
pub fn draw_script(seed: u64, shape: &Shape, seconds: u64) -> Vec<Step> {
    let healed_at = (seconds * 1_000).saturating_sub(HEALED_BEFORE_END);
    let rng = Rng::new(seed ^ u64::from(u32::MAX));
    let mut draw = ScriptDraw { rng, shape, healed_at, busy: BTreeMap::new(), steps: Vec::new() };
    let mut at = FAULTS_FROM;
    while at < healed_at {
        draw.draw_series(at);
        at += SERIES_GAP / 2 + draw.rng.below(SERIES_GAP);
    }
    let mut steps = draw.steps;
    steps.sort_by_key(|step| step.at);
    steps
}

impl ScriptDraw<'_> {
    fn draw_series(&mut self, at: Millis) {
        match self.rng.below(8) {
            0 | 1 => self.rolling_restart(at),
            2 => self.fail_nodes(at),
            3 | 4 => self.fail_keeper(at),
            5 => self.fail_server(at),
            6 => self.hang_up(at),
            _ => self.add(at, Target::Name("n1".into()), Action::PushConfigurations),
        }
    }

    fn add(&mut self, at: Millis, who: Target, act: Action) {
        self.steps.push(step(at, who, act, "soak"));
    }

    /// Draws the end of a fault that begins at `at`: it is no later than `healed_at`, unless the fault would then be
    /// shorter than [`MIN_DOWN`].
    fn draw_end(&mut self, at: Millis) -> Millis {
        (at + MIN_DOWN + self.rng.below(DOWN_RANGE)).min(self.healed_at.max(at + MIN_DOWN))
    }

    /// Reserves a process for a fault and returns the fault's end; none if the process has a fault or too little time
    /// is left.
    fn reserve(&mut self, name: &str, at: Millis) -> Option<Millis> {
        let is_busy = self.busy.get(name).is_some_and(|until| at <= *until);
        if is_busy || at + MIN_DOWN >= self.healed_at {
            return None;
        }
        let end = self.draw_end(at);
        self.busy.insert(name.to_owned(), end);
        Some(end)
    }

    /// Returns the number of processes with that name prefix that have a fault at that time.
    fn failing(&self, prefix: &str, at: Millis) -> usize {
        self.busy.iter().filter(|(name, until)| name.starts_with(prefix) && at <= **until).count()
    }

    fn draw_node(&mut self) -> String {
        format!("n{}", 1 + self.rng.below(self.shape.nodes as u64))
    }

    /// Terminates drawn nodes and starts them again one after the other; the restarts may overlap.
    fn rolling_restart(&mut self, at: Millis) {
        let mut at = at;
        for _ in 0..1 + self.rng.below(self.shape.nodes.min(6) as u64) {
            let node = self.draw_node();
            if let Some(end) = self.reserve(&node, at) {
                self.add(at, Target::Name(node.clone()), Action::Terminate);
                self.add(end, Target::Name(node), Action::Start);
            }
            at += self.rng.below(SERIES_STEP);
        }
    }

    /// Kills or suspends some nodes at the same time, but not all.
    fn fail_nodes(&mut self, at: Millis) {
        let is_kill = self.rng.chance(500);
        for _ in 0..1 + self.rng.below((self.shape.nodes as u64 / 2).max(1)) {
            let node = self.draw_node();
            if self.failing("n", at) + 1 >= self.shape.nodes {
                return;
            }
            self.fail_process(node, at, is_kill);
        }
    }

    fn fail_keeper(&mut self, at: Millis) {
        let keeper = format!("k{}", 1 + self.rng.below(self.shape.keepers as u64));
        if (self.failing("k", at) + 1) * 2 >= self.shape.keepers {
            return;
        }
        match self.rng.below(3) {
            0 => {
                if let Some(end) = self.reserve(&keeper, at) {
                    self.add(at, Target::Name(keeper.clone()), Action::Terminate);
                    self.add(end, Target::Name(keeper), Action::Start);
                }
            }
            kind => self.fail_process(keeper, at, kind == 1),
        }
    }

    /// Kills or suspends the process until a drawn time.
    fn fail_process(&mut self, name: String, at: Millis, is_kill: bool) {
        let Some(end) = self.reserve(&name, at) else { return };
        let (begin, finish) =
            if is_kill { (Action::Kill, Action::Start) } else { (Action::Pause, Action::Continue) };
        self.add(at, Target::Name(name.clone()), begin);
        self.add(end, Target::Name(name), finish);
    }

    fn fail_server(&mut self, at: Millis) {
        let group = 1 + self.rng.below(self.shape.groups as u64);
        let prefix = format!("g{group}s");
        let server = format!("{prefix}{}", 1 + self.rng.below(self.shape.replicas as u64));
        if self.failing(&prefix, at) > 0 {
            return;
        }
        let who = || Target::Name(server.clone());
        match self.rng.below(5) {
            kind @ (0 | 1) => self.fail_process(server.clone(), at, kind == 0),
            2 => self.add(at, who(), lose_answers(3)),
            3 => self.add(at, who(), reset()),
            _ => {
                let Some(end) = self.reserve(&server, at) else { return };
                let (begin, finish) =
                    if self.rng.chance(500) { (stall(true), stall(false)) } else { (lag(400), lag(0)) };
                self.add(at, who(), begin);
                self.add(end, who(), finish);
            }
        }
    }

    /// Sends a series of hangup signals, which announce a changed settings file, to nodes and keepers.
    fn hang_up(&mut self, at: Millis) {
        for _ in 0..1 + self.rng.below(MAX_HANGUPS) {
            let name = if self.rng.chance(300) {
                format!("k{}", 1 + self.rng.below(self.shape.keepers as u64))
            } else {
                self.draw_node()
            };
            let at = at + self.rng.below(SERIES_STEP);
            self.add(at, Target::Name(name), Action::Hangup);
        }
    }
}
