//! A keeper together with the state of its disk: running, or suspended until the disk takes writes again. It does no I/O
//! itself: the caller does the writes and reports their results.

mod batch;
mod pending_requests;
mod suspension;

pub use batch::Batch;

use crate::disk_usage::DiskUsage;
use crate::keeper::Keeper;
use crate::keeper::{Input, Output};
use crate::messages::{KeeperStatus, Reply, Request};
use crate::record::RecoveredState;
use crate::stale_reply;
use crate::view::View;
use pending_requests::PendingRequests;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use suspension::Suspension;

/// Retry delay in replies of a suspended keeper, in milliseconds.
const RETRY_SUSPENDED_AFTER: Millis = 1_000;

/// Makes a keeper of what its disk holds; the time is that of its start.
pub type KeeperFactory = Box<dyn Fn(RecoveredState, Millis) -> Keeper + Send>;

enum HostState {
    Running(Box<Keeper>),
    Suspended(Suspension),
}

/// A keeper and the state of its disk.
pub struct KeeperHost {
    name: Name,
    state: HostState,
    make_keeper: KeeperFactory,
    pending: PendingRequests,
    /// The newest seeds, for a keeper that is made later.
    seeds: Option<Vec<Name>>,
    /// The process is to stop, so the keeper leaves the chain.
    is_leaving: bool,
    usage: DiskUsage,
    /// A write is under way and takes too long.
    is_stalled: bool,
}

impl KeeperHost {
    /// Starts the keeper from what its disk holds.
    pub fn new(state: RecoveredState, now: Millis, make_keeper: KeeperFactory) -> Self {
        let keeper = make_keeper(state, now);
        Self {
            name: keeper.name.clone(),
            state: HostState::Running(Box::new(keeper)),
            make_keeper,
            pending: PendingRequests::default(),
            seeds: None,
            is_leaving: false,
            usage: DiskUsage::default(),
            is_stalled: false,
        }
    }

    /// Name of the keeper.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// The keeper, unless it is suspended.
    pub fn keeper(&self) -> Option<&Keeper> {
        match &self.state {
            HostState::Running(keeper) => Some(keeper),
            HostState::Suspended(_) => None,
        }
    }

    /// May the process end? A suspended keeper is out of the chain already.
    pub fn has_left(&self) -> bool {
        match &self.state {
            HostState::Running(keeper) => keeper.has_left(),
            HostState::Suspended(_) => self.is_leaving,
        }
    }

    /// Records how much of its allowed size the disk takes.
    pub fn record_disk_usage(&mut self, usage: DiskUsage) {
        self.usage = usage;
        if let HostState::Running(keeper) = &mut self.state {
            keeper.set_disk_usage(usage);
        }
    }

    /// Processes one input; its records and outputs are added to the batch. A suspended keeper answers requests and
    /// ignores its peers.
    pub fn step(&mut self, now: Millis, input: Input, batch: &mut Batch) {
        self.note_input(&input);
        match &mut self.state {
            HostState::Running(keeper) => {
                for output in keeper.step(now, input) {
                    batch.add(output);
                }
            }
            HostState::Suspended(_) => {
                if let Input::Request { token, request } = input {
                    let reply = self.unavailable_reply(&request);
                    batch.add(Output::Reply(token, reply));
                }
            }
        }
    }

    /// Remembers what outlives a suspension.
    fn note_input(&mut self, input: &Input) {
        match input {
            Input::Seeds(seeds) => self.seeds = Some(seeds.clone()),
            Input::Leave { .. } => self.is_leaving = true,
            Input::Request { token, .. } => self.pending.add(*token),
            _ => {}
        }
    }

    /// The outputs that may leave, now that the batch's records were saved or the disk failed. A keeper whose disk
    /// failed is suspended: it cannot know which of the records are durable.
    pub fn complete_save(&mut self, now: Millis, saved: Result<(), Error>, batch: Batch) -> Vec<Output> {
        self.is_stalled = false;
        let outputs = match saved {
            Ok(()) => self.check_replies(now, batch.outputs),
            Err(error) => self.suspend(now, error),
        };
        outputs.into_iter().filter(|output| self.is_awaited(output)).collect()
    }

    /// A write takes too long: the replies that tell all waiting clients to retry, as the other keepers may go on without
    /// this one.
    pub fn reject_pending(&mut self) -> Vec<Output> {
        self.is_stalled = true;
        let rejections = self.pending.rejections();
        self.pending.clear();
        rejections
    }

    /// The reply to a request while the keeper is suspended or its disk stalls.
    pub fn unavailable_reply(&self, request: &Request) -> Reply {
        match request {
            Request::Status => Reply::Status { status: self.status() },
            _ => {
                let error = ErrorCode::ChainUnavailable
                    .with_detail("the disk of this keeper takes no writes")
                    .with_retry_after(RETRY_SUSPENDED_AFTER);
                Reply::Rejected { error }
            }
        }
    }

    /// Is it time to try the disk of a suspended keeper again?
    pub fn is_probe_due(&self, now: Millis) -> bool {
        matches!(&self.state, HostState::Suspended(suspension) if suspension.is_probe_due(now))
    }

    /// Takes the result of an attempt to recover the disk; the records and outputs of a keeper that resumes.
    pub fn complete_probe(&mut self, now: Millis, probe: Result<RecoveredState, Error>) -> Batch {
        let HostState::Suspended(suspension) = &mut self.state else { return Batch::default() };
        match probe {
            Ok(recovered) => {
                let since = suspension.since();
                self.resume(now, recovered, since)
            }
            Err(error) => {
                suspension.probe_failed(now, error);
                Batch::default()
            }
        }
    }

    /// The status that operators see.
    pub fn status(&self) -> KeeperStatus {
        match &self.state {
            HostState::Running(keeper) if self.is_stalled => KeeperStatus {
                serving: false,
                reason: "suspended: the disk stalls in a write".into(),
                ..keeper.status()
            },
            HostState::Running(keeper) => keeper.status(),
            HostState::Suspended(suspension) => suspension.status(&self.name, self.usage),
        }
    }

    /// Replaces replies that rest on a lease which ended while the disk was written.
    fn check_replies(&mut self, now: Millis, outputs: Vec<Output>) -> Vec<Output> {
        let HostState::Running(keeper) = &mut self.state else { return outputs };
        keeper.advance_clock(now);
        let has_lost_lease = keeper.is_tail() && !keeper.can_commit();
        if !has_lost_lease {
            return outputs;
        }
        outputs.into_iter().map(|output| without_lease(output, &keeper.view)).collect()
    }

    fn suspend(&mut self, now: Millis, error: Error) -> Vec<Output> {
        let HostState::Running(keeper) = &self.state else { return Vec::new() };
        let view = keeper.view.clone();
        let mut outputs = self.pending.rejections();
        outputs.push(Output::Log(format!("suspended, the disk takes no writes: {error}")));
        self.state = HostState::Suspended(Suspension::new(now, error, view));
        outputs
    }

    fn resume(&mut self, now: Millis, recovered: RecoveredState, since: Millis) -> Batch {
        let mut keeper = (self.make_keeper)(recovered, now);
        keeper.set_disk_usage(self.usage);
        let mut batch = Batch::default();
        batch.add(Output::Log(format!(
            "the disk takes writes again after {} ms, change {}",
            now - since,
            keeper.store.last_change
        )));
        self.state = HostState::Running(Box::new(keeper));
        if let Some(seeds) = self.seeds.clone() {
            self.step(now, Input::Seeds(seeds), &mut batch);
        }
        batch
    }

    /// Replies are sent once, and only to those that still wait.
    fn is_awaited(&mut self, output: &Output) -> bool {
        match output {
            Output::Reply(token, _) => self.pending.remove(*token),
            _ => true,
        }
    }
}

fn without_lease(output: Output, view: &View) -> Output {
    match output {
        Output::Reply(token, reply) => Output::Reply(token, stale_reply::without_lease(reply, view)),
        other => other,
    }
}
