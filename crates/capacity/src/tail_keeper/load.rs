//! Costs of a second of service at the tail: polls, changes, and heartbeats without changes.
use super::{ServingTail, TICK_MS, reply_frame_bytes, start_tail};
use crate::cpu::timed;
use crate::samples::server_record;
use quincehatch_core::{Name, ServerRecord};
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::{Command, Reply, Request};
use std::collections::BTreeMap;

/// Pause of a node between a reply and its next poll, in milliseconds.
const POLL_GAP_MS: u64 = 5;
/// Start and length of the period over which the nodes' first polls are spread, in milliseconds.
const FIRST_POLLS_FROM_MS: u64 = 2_500;
const FIRST_POLLS_WITHIN_MS: u64 = 200;
/// Offset between the first polls of two nodes, in milliseconds. It is coprime to the length of the period, so that the
/// polls are spread evenly.
const FIRST_POLLS_STEP_MS: u64 = 197;
/// Start of the writes, in milliseconds.
const WRITES_FROM_MS: u64 = 2_400;
/// Start of the measurement, in milliseconds.
const MEASURED_FROM_MS: u64 = 6_000;
const MS_PER_SECOND: u64 = 1_000;
/// Number of servers whose records change.
const CHANGING_SERVERS: u64 = 30;

/// The load on the tail.
#[derive(Clone, Copy, Debug, Default)]
pub struct TailLoad {
    /// Number of nodes that poll.
    pub nodes: usize,
    /// Changed server records that are written per second.
    pub changes: u64,
    /// Heartbeats per second that change nothing.
    pub idle_heartbeats: u64,
}

/// Costs of one second at the tail, without the processor time of the kernel.
#[derive(Clone, Copy, Debug, Default)]
pub struct TailSecond {
    /// Processor time in milliseconds.
    pub cpu_ms: f64,
    /// Number of answered polls.
    pub polls: f64,
    /// Size of the replies, in bytes.
    pub bytes: f64,
}

/// Measures the load over `seconds` of virtual time. Returns the mean costs of one second.
pub fn measure(load: TailLoad, seconds: u64) -> TailSecond {
    let tail = start_tail(load.nodes);
    let from = tail.serving_from;
    let mut run = LoadRun::new(tail);
    let mut total = TailSecond::default();
    for now in from..MEASURED_FROM_MS + seconds * MS_PER_SECOND {
        let step = run.step(now, load);
        if now >= MEASURED_FROM_MS {
            total.cpu_ms += step.cpu_ms;
            total.polls += step.polls;
            total.bytes += step.bytes;
        }
    }
    let seconds = seconds as f64;
    TailSecond { cpu_ms: total.cpu_ms / seconds, polls: total.polls / seconds, bytes: total.bytes / seconds }
}

/// The reply to one poll.
struct PollReply {
    node: usize,
    bytes: usize,
    /// The newest change in the reply.
    last_change: u64,
}

struct LoadRun {
    tail: ServingTail,
    /// The nodes whose next poll is due, by millisecond.
    due: BTreeMap<u64, Vec<usize>>,
    /// The polls in flight: the node of each request's token.
    in_flight: BTreeMap<u64, usize>,
    last_token: u64,
    /// The sequence number of the last heartbeat with a change.
    last_seq: u64,
}

impl LoadRun {
    fn new(tail: ServingTail) -> LoadRun {
        let mut due: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for node in 0..tail.nodes.len() {
            let offset = (node as u64 * FIRST_POLLS_STEP_MS) % FIRST_POLLS_WITHIN_MS;
            due.entry(FIRST_POLLS_FROM_MS + offset).or_default().push(node);
        }
        LoadRun { tail, due, in_flight: BTreeMap::new(), last_token: 0, last_seq: 1 }
    }

    /// Runs one millisecond: feeds its inputs to the tail, measures them, and schedules the polls that follow the
    /// replies.
    fn step(&mut self, now: u64, load: TailLoad) -> TailSecond {
        let mut inputs = Vec::new();
        if now.is_multiple_of(TICK_MS) {
            inputs.push(Input::Tick);
        }
        for node in self.due.remove(&now).unwrap_or_default() {
            let request = self.tail.nodes[node].poll();
            let token = self.next_token();
            self.in_flight.insert(token, node);
            inputs.push(Input::Request { token, request });
        }
        if now >= WRITES_FROM_MS {
            for _ in 0..due_in_millisecond(now, load.changes) {
                inputs.push(self.write_change());
            }
            for _ in 0..due_in_millisecond(now, load.idle_heartbeats) {
                inputs.push(self.write_unchanged());
            }
        }
        if inputs.is_empty() {
            return TailSecond::default();
        }
        let taken = timed(|| self.take(now, inputs));
        let mut step = TailSecond { cpu_ms: taken.cpu_ms, ..TailSecond::default() };
        for reply in taken.result {
            let node = &mut self.tail.nodes[reply.node];
            node.last_change = node.last_change.max(reply.last_change);
            self.due.entry(now + POLL_GAP_MS).or_default().push(reply.node);
            step.polls += 1.0;
            step.bytes += reply.bytes as f64;
        }
        step
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn write_change(&mut self) -> Input {
        self.last_seq += 1;
        let record = server_record((self.last_seq % CHANGING_SERVERS) as usize, self.last_seq);
        // A record counts as changed if any field other than its sequence number differs.
        self.write(ServerRecord { slots: self.last_seq as u32, ..record })
    }

    fn write_unchanged(&mut self) -> Input {
        self.write(server_record((self.last_seq % CHANGING_SERVERS) as usize, 1))
    }

    fn write(&mut self, record: ServerRecord) -> Input {
        let token = self.next_token();
        let key = Name::from(format!("w{token}"));
        let command = Command::RegisterServer { at: record };
        Input::Request { token, request: Request::Write { key, command } }
    }

    fn take(&mut self, now: u64, inputs: Vec<Input>) -> Vec<PollReply> {
        let mut replies = Vec::new();
        for input in inputs {
            for output in self.tail.keeper.step(now, input) {
                let Output::Reply(token, reply) = output else { continue };
                let Some(node) = self.in_flight.remove(&token) else { continue };
                let last_change = newest_change(&reply);
                let bytes = reply_frame_bytes(reply);
                replies.push(PollReply { node, bytes, last_change });
            }
        }
        replies
    }
}

/// Returns how many of `per_second` events fall into the millisecond `now`.
fn due_in_millisecond(now: u64, per_second: u64) -> u64 {
    now * per_second / MS_PER_SECOND - (now - 1) * per_second / MS_PER_SECOND
}

fn newest_change(reply: &Reply) -> u64 {
    match reply {
        Reply::Changes { changes, .. } => changes.last().map_or(0, |change| change.number),
        Reply::PackedSnapshot { snapshot, .. } => snapshot.last_change,
        _ => 0,
    }
}
