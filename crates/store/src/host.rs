//! A keeper together with the state of its disk: running, or suspended until the disk takes writes again (§5.7).
//! Sans-IO: the caller does the writes and tells how they went.
use crate::disk_port::DiskUsage;
use crate::keeper::Keeper;
use crate::messages::{KeeperStatus, Reply, Request, View};
use crate::stale_reply;
use crate::step::{Input, Output, Record, RecoveredState};
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use std::collections::BTreeSet;

/// Time between two attempts to open the folder of a suspended keeper.
const PROBE_EVERY: Millis = 250;
/// What clients of a suspended keeper are told to wait.
const RETRY_AFTER: Millis = 1_000;
/// What a client whose write was under way is told to wait.
pub(crate) const RETRY_PENDING_AFTER: Millis = 500;

/// Makes a keeper of what its disk holds.
pub type KeeperFactory = Box<dyn Fn(RecoveredState, Millis) -> Keeper + Send>;

/// Why and since when a keeper takes no part in the chain.
#[derive(Debug)]
struct Suspension {
    why: Error,
    since: Millis,
    next_probe: Millis,
    view: View,
}

enum State {
    Running(Box<Keeper>),
    Suspended(Suspension),
}

/// Outputs of some steps. Nothing of them may leave before `records` are durable.
#[derive(Debug, Default)]
pub struct Batch {
    pub records: Vec<Record>,
    outputs: Vec<Output>,
}

pub struct KeeperHost {
    name: Name,
    state: State,
    make_keeper: KeeperFactory,
    /// Requests that were not answered yet.
    pending: BTreeSet<u64>,
    /// The newest seeds, for a keeper made later.
    seeds: Option<Vec<Name>>,
    /// It was told to leave the chain.
    is_leaving: bool,
    usage: DiskUsage,
    /// A write is under way and lasts too long.
    is_stalled: bool,
}

impl KeeperHost {
    pub fn new(state: RecoveredState, now: Millis, make_keeper: KeeperFactory) -> Self {
        let keeper = make_keeper(state, now);
        Self {
            name: keeper.name.clone(),
            state: State::Running(Box::new(keeper)),
            make_keeper,
            pending: BTreeSet::new(),
            seeds: None,
            is_leaving: false,
            usage: DiskUsage::default(),
            is_stalled: false,
        }
    }

    pub fn name(&self) -> &Name {
        &self.name
    }

    /// The keeper, unless it is suspended.
    pub fn keeper(&self) -> Option<&Keeper> {
        match &self.state {
            State::Running(keeper) => Some(keeper),
            State::Suspended(_) => None,
        }
    }

    /// May the process end? A suspended keeper is out of the chain already.
    pub fn has_left(&self) -> bool {
        match &self.state {
            State::Running(keeper) => keeper.has_left(),
            State::Suspended(_) => self.is_leaving,
        }
    }

    pub fn record_disk_usage(&mut self, usage: DiskUsage) {
        self.usage = usage;
        if let State::Running(keeper) = &mut self.state {
            keeper.set_disk_usage(usage);
        }
    }

    /// Takes one input into the batch. A suspended keeper answers requests and ignores its peers.
    pub fn step(&mut self, now: Millis, input: Input, batch: &mut Batch) {
        if let Input::Seeds(seeds) = &input {
            self.seeds = Some(seeds.clone());
        }
        self.is_leaving |= matches!(input, Input::Leave { .. });
        if let Input::Request { token, .. } = &input {
            self.pending.insert(*token);
        }
        match &mut self.state {
            State::Running(keeper) => {
                for output in keeper.step(now, input) {
                    match output {
                        Output::Persist(record) => batch.records.push(record),
                        other => batch.outputs.push(other),
                    }
                }
            }
            State::Suspended(_) => {
                if let Input::Request { token, request } = input {
                    batch.outputs.push(Output::Reply(token, self.unavailable_reply(&request)));
                }
            }
        }
    }

    /// What may leave, now that the batch's records were saved, or could not be.
    pub fn complete_save(&mut self, now: Millis, saved: Result<(), Error>, batch: Batch) -> Vec<Output> {
        self.is_stalled = false;
        let outputs = match saved {
            Ok(()) => self.confirm(now, batch.outputs),
            Err(why) => self.suspend(now, why),
        };
        outputs.into_iter().filter(|output| self.is_awaited(output)).collect()
    }

    /// A write that lasts too long: whoever waits is told to ask again, as others may go on without this keeper.
    pub fn reject_pending(&mut self) -> Vec<Output> {
        self.is_stalled = true;
        let declined = self.declines();
        self.pending.clear();
        declined
    }

    /// The answer to a request that no keeper can take now.
    pub fn unavailable_reply(&self, request: &Request) -> Reply {
        match request {
            Request::Status => Reply::Status { status: self.status() },
            _ => {
                let why = ErrorCode::ChainUnavailable
                    .with_detail("the disk of this keeper takes no writes")
                    .with_retry_after(RETRY_AFTER);
                Reply::Rejected { error: why }
            }
        }
    }

    /// Is it time to try the disk of a suspended keeper?
    pub fn is_probe_due(&self, now: Millis) -> bool {
        matches!(&self.state, State::Suspended(suspension) if now >= suspension.next_probe)
    }

    /// What the attempt to open the folder anew and to write to it gave.
    pub fn complete_probe(&mut self, now: Millis, probe: Result<RecoveredState, Error>) -> Batch {
        let State::Suspended(suspension) = &mut self.state else { return Batch::default() };
        match probe {
            Ok(recovered) => {
                let since = suspension.since;
                self.resume(now, recovered, since)
            }
            Err(why) => {
                suspension.why = why;
                suspension.next_probe = now + PROBE_EVERY;
                Batch::default()
            }
        }
    }

    pub fn status(&self) -> KeeperStatus {
        match &self.state {
            State::Running(keeper) if self.is_stalled => KeeperStatus {
                serving: false,
                reason: "suspended: the disk stalls in a write".into(),
                ..keeper.status()
            },
            State::Running(keeper) => keeper.status(),
            State::Suspended(suspension) => KeeperStatus {
                name: self.name.clone(),
                view: suspension.view.clone(),
                reason: format!("suspended: {}", suspension.why),
                disk: self.usage,
                ..Default::default()
            },
        }
    }

    /// Replies that rest on a lease which ended while the disk was written are not given.
    fn confirm(&mut self, now: Millis, outputs: Vec<Output>) -> Vec<Output> {
        let State::Running(keeper) = &mut self.state else { return outputs };
        keeper.advance_clock(now);
        let is_stale_tail = keeper.is_tail() && !keeper.can_commit();
        let view = &keeper.view;
        let recheck = |output: Output| match output {
            Output::Reply(token, reply) if is_stale_tail => {
                Output::Reply(token, stale_reply::without_lease(reply, view))
            }
            other => other,
        };
        outputs.into_iter().map(recheck).collect()
    }

    fn suspend(&mut self, now: Millis, why: Error) -> Vec<Output> {
        let State::Running(keeper) = &self.state else { return Vec::new() };
        let view = keeper.view.clone();
        let mut outputs = self.declines();
        outputs.push(Output::Log(format!("suspended, the disk takes no writes: {why}")));
        self.state = State::Suspended(Suspension { why, since: now, next_probe: now + PROBE_EVERY, view });
        outputs
    }

    fn resume(&mut self, now: Millis, recovered: RecoveredState, since: Millis) -> Batch {
        let mut keeper = (self.make_keeper)(recovered, now);
        keeper.set_disk_usage(self.usage);
        let said = format!(
            "the disk takes writes again after {} ms, change {}",
            now - since,
            keeper.store.last_change
        );
        self.state = State::Running(Box::new(keeper));
        let mut batch = Batch { records: Vec::new(), outputs: vec![Output::Log(said)] };
        if let Some(seeds) = self.seeds.clone() {
            self.step(now, Input::Seeds(seeds), &mut batch);
        }
        batch
    }

    /// For each request that waits: whether its write was kept is not known.
    fn declines(&self) -> Vec<Output> {
        let why = ErrorCode::ChainUnavailable
            .with_detail("the disk has not taken the write")
            .with_unknown_outcome()
            .with_retry_after(RETRY_PENDING_AFTER);
        let decline = |token: &u64| Output::Reply(*token, Reply::Rejected { error: why.clone() });
        self.pending.iter().map(decline).collect()
    }

    /// Replies go out once, and only to those that still wait.
    fn is_awaited(&mut self, output: &Output) -> bool {
        match output {
            Output::Reply(token, _) => self.pending.remove(token),
            _ => true,
        }
    }
}
