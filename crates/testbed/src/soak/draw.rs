//! The script of a soak run.
use super::{FAULTS_FROM, HEALED_BEFORE_END};
use crate::scenario_steps::{lag, lose_answers, reset, stall};
use crate::script::{Action, Step, Target, step};
use crate::shape::Shape;
use quincehatch_core::Millis;
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

/// Mean time between the beginnings of two series.
const SERIES_GAP: Millis = 1_300;
/// Steps of one series follow each other within this time.
const SERIES_STEP: Millis = 1_500;
/// A process is down, suspended or ill for that long, at least and beyond that.
const MIN_DOWN: Millis = 200;
const DOWN_RANGE: Millis = 4_000;
/// Signals of one series to one process.
const MAX_HANGUPS: u64 = 4;

/// When a process is free for another fault.
type BusyUntil = BTreeMap<String, Millis>;

struct Drawing<'shape> {
    rng: Rng,
    shape: &'shape Shape,
    healed_at: Millis,
    busy: BusyUntil,
    steps: Vec<Step>,
}

/// Draws the script of a run of `seconds`, in order of time. Of keepers, and of each group's servers, less than half are
/// down at any time; all is healed eight seconds before the end.
pub fn draw_script(seed: u64, shape: &Shape, seconds: u64) -> Vec<Step> {
    let healed_at = (seconds * 1_000).saturating_sub(HEALED_BEFORE_END);
    let rng = Rng::new(seed ^ u64::from(u32::MAX));
    let mut drawing = Drawing { rng, shape, healed_at, busy: BTreeMap::new(), steps: Vec::new() };
    let mut at = FAULTS_FROM;
    while at < healed_at {
        drawing.draw_series(at);
        at += SERIES_GAP / 2 + drawing.rng.below(SERIES_GAP);
    }
    let mut steps = drawing.steps;
    steps.sort_by_key(|step| step.at);
    steps
}

impl Drawing<'_> {
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

    /// How long a fault lasts that begins then; all is over when the fleet is healed.
    fn draw_end(&mut self, at: Millis) -> Millis {
        (at + MIN_DOWN + self.rng.below(DOWN_RANGE)).min(self.healed_at.max(at + MIN_DOWN))
    }

    /// Reserves a process for a fault, unless one is under way or would come too late.
    fn reserve(&mut self, name: &str, at: Millis) -> Option<Millis> {
        let is_busy = self.busy.get(name).is_some_and(|until| at <= *until);
        if is_busy || at + MIN_DOWN >= self.healed_at {
            return None;
        }
        let end = self.draw_end(at);
        self.busy.insert(name.to_owned(), end);
        Some(end)
    }

    /// How many processes whose names begin so have a fault at that time.
    fn failing(&self, prefix: &str, at: Millis) -> usize {
        self.busy.iter().filter(|(name, until)| name.starts_with(prefix) && at <= **until).count()
    }

    fn draw_node(&mut self) -> String {
        format!("n{}", 1 + self.rng.below(self.shape.nodes as u64))
    }

    /// Nodes are stopped in order and started again one after the other, each perhaps before the last one is back.
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

    /// Some nodes at one moment, but not all.
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

    /// Kills the process, or suspends it, until a drawn time.
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

    /// Signals that the settings file has changed, to nodes and keepers, several in a row.
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
