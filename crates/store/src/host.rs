//! A keeper together with the state of its disk. The keeper is running, or suspended until the disk accepts writes
//! again. This module does no I/O: the caller performs the writes and reports their results.

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

/// Delay after which clients of a suspended keeper are to retry, in milliseconds.
const SUSPENDED_RETRY_DELAY: Millis = 1_000;

/// Creates a keeper from the state on its disk and the time of its start.
pub type KeeperFactory = Box<dyn Fn(RecoveredState, Millis) -> Keeper + Send>;

enum HostState {
    Running(Box<Keeper>),
    Suspended(Suspension),
}

/// A keeper that is suspended while its disk fails.
pub struct KeeperHost {
    name: Name,
    state: HostState,
    make_keeper: KeeperFactory,
    pending: PendingRequests,
    /// The newest seeds, for the keeper that is created when the disk recovers.
    seeds: Option<Vec<Name>>,
    /// Whether the keeper leaves the chain because the process is shutting down.
    is_leaving: bool,
    usage: DiskUsage,
    /// Whether a disk operation is running that takes too long.
    is_stalled: bool,
}

impl KeeperHost {
    /// Starts a keeper from the state on its disk.
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

    /// Returns the name of the keeper.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the keeper, unless it is suspended.
    pub fn keeper(&self) -> Option<&Keeper> {
        match &self.state {
            HostState::Running(keeper) => Some(keeper),
            HostState::Suspended(_) => None,
        }
    }

    /// Whether the keeper has left the chain, so that the process may end. A suspended keeper takes no part in the
    /// chain.
    pub fn is_ready_to_stop(&self) -> bool {
        match &self.state {
            HostState::Running(keeper) => keeper.is_ready_to_stop(),
            HostState::Suspended(_) => self.is_leaving,
        }
    }

    /// Sets how much of the allowed size the disk takes.
    pub fn record_disk_usage(&mut self, usage: DiskUsage) {
        self.usage = usage;
        if let HostState::Running(keeper) = &mut self.state {
            keeper.set_disk_usage(usage);
        }
    }

    /// Processes one input and adds the resulting records and outputs to the batch. A suspended keeper rejects requests
    /// and ignores its peers.
    pub fn step(&mut self, now: Millis, input: Input, batch: &mut Batch) {
        self.record_input(&input);
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

    /// Records the inputs that must outlast a suspension.
    fn record_input(&mut self, input: &Input) {
        match input {
            Input::Seeds(seeds) => self.seeds = Some(seeds.clone()),
            Input::Leave { .. } => self.is_leaving = true,
            Input::Request { token, .. } => self.pending.add(*token),
            _ => {}
        }
    }

    /// Returns the outputs to send after the records of the batch were saved or the disk failed. If the disk failed,
    /// the keeper is suspended, because it cannot know which of the records are durable.
    pub fn complete_save(&mut self, now: Millis, saved: Result<(), Error>, batch: Batch) -> Vec<Output> {
        self.is_stalled = false;
        let outputs = match saved {
            Ok(()) => self.check_replies(now, batch.outputs),
            Err(error) => self.suspend(now, error),
        };
        outputs.into_iter().filter(|output| self.is_to_be_sent(output)).collect()
    }

    /// Returns rejections of all pending requests, to be called when a disk operation stalls. Their clients are to
    /// retry, because the other keepers may continue without this one.
    pub fn reject_pending_requests(&mut self) -> Vec<Output> {
        self.is_stalled = true;
        let rejections = self.pending.rejections();
        self.pending.clear();
        rejections
    }

    /// Returns the reply to a request while the keeper is suspended or its disk stalls.
    pub fn unavailable_reply(&self, request: &Request) -> Reply {
        match request {
            Request::Status => Reply::Status { status: self.status() },
            _ => {
                let error = ErrorCode::ChainUnavailable
                    .with_detail("the disk of this keeper does not accept writes")
                    .with_retry_after(SUSPENDED_RETRY_DELAY);
                Reply::Rejected { error }
            }
        }
    }

    /// Whether the next attempt to recover the disk of a suspended keeper is due.
    pub fn is_probe_due(&self, now: Millis) -> bool {
        matches!(&self.state, HostState::Suspended(suspension) if suspension.is_probe_due(now))
    }

    /// Processes the result of an attempt to recover the disk. If it succeeded, the keeper resumes, and its records and
    /// outputs are returned.
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

    /// Returns the status for operators.
    pub fn status(&self) -> KeeperStatus {
        match &self.state {
            HostState::Running(keeper) if self.is_stalled => KeeperStatus {
                serving: false,
                reason: "suspended: a disk operation stalls".into(),
                ..keeper.status()
            },
            HostState::Running(keeper) => keeper.status(),
            HostState::Suspended(suspension) => suspension.status(&self.name, self.usage),
        }
    }

    /// Replaces replies that depend on a lease which expired during the write to the disk.
    fn check_replies(&mut self, now: Millis, outputs: Vec<Output>) -> Vec<Output> {
        let HostState::Running(keeper) = &mut self.state else { return outputs };
        keeper.advance_clock(now);
        let has_lost_lease = keeper.is_tail() && !keeper.can_commit();
        if !has_lost_lease {
            return outputs;
        }
        outputs.into_iter().map(|output| replace_lease_dependent_reply(output, &keeper.view)).collect()
    }

    fn suspend(&mut self, now: Millis, error: Error) -> Vec<Output> {
        let HostState::Running(keeper) = &self.state else { return Vec::new() };
        let view = keeper.view.clone();
        let mut outputs = self.pending.rejections();
        outputs.push(Output::Log(format!("suspended, the disk does not accept writes: {error}")));
        self.state = HostState::Suspended(Suspension::new(now, error, view));
        outputs
    }

    fn resume(&mut self, now: Millis, recovered: RecoveredState, since: Millis) -> Batch {
        let mut keeper = (self.make_keeper)(recovered, now);
        keeper.set_disk_usage(self.usage);
        let mut batch = Batch::default();
        batch.add(Output::Log(format!(
            "resumed, the disk accepts writes again after {} ms, at change {}",
            now - since,
            keeper.store.last_change
        )));
        self.state = HostState::Running(Box::new(keeper));
        if let Some(seeds) = self.seeds.clone() {
            self.step(now, Input::Seeds(seeds), &mut batch);
        }
        batch
    }

    /// Whether the output is to be sent: each reply is sent at most once, and only while its request is pending.
    fn is_to_be_sent(&mut self, output: &Output) -> bool {
        match output {
            Output::Reply(token, _) => self.pending.remove(*token),
            _ => true,
        }
    }
}

fn replace_lease_dependent_reply(output: Output, view: &View) -> Output {
    match output {
        Output::Reply(token, reply) => {
            Output::Reply(token, stale_reply::replace_lease_dependent_reply(reply, view))
        }
        other => other,
    }
}
