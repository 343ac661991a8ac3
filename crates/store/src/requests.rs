//! What nodes and operators ask of a keeper: feed, writes, membership, status (§5.2, §5.6).
use crate::ack_level::AckLevel;
use crate::entry_log::PackedEntry;
use crate::keeper::{Keeper, Output, Record};
use crate::lease::Leases;
use crate::messages::{Answer, Command, Entry, Reply, Request, View, Voter};
use crate::terms::{ADOPT_ACK_DELAY, FEED_POLL_WAIT, NODE_LEASE};
use quincehatch_core::{ChangeNumber, ErrorCode, Millis, Name, Version};

/// Writers that may wait at the head.
const MAX_PENDING_WRITES: usize = 1024;
/// How long a writer waits before it is told to ask again with the same key.
const WRITE_TIMEOUT: u64 = 8_000;
/// Commits whose time is remembered.
const MAX_COMMIT_TIMES: usize = 64;

#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub token: u64,
    pub number: ChangeNumber,
    pub answer: Answer,
    pub ack_level: AckLevel,
    /// Where no new entry proves it: a majority must grant a heartbeat sent after that one.
    pub contact_after: Option<u64>,
    pub deadline: Millis,
}

/// A node whose poll waits at the tail for news.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub token: u64,
    pub node: Name,
    pub last_change: ChangeNumber,
    pub deadline: Millis,
}

impl Keeper {
    pub(crate) fn ask(&mut self, token: u64, ask: Request) {
        let rep = match ask {
            Request::Status => Some(Reply::Status { status: self.status() }),
            Request::ChangeVoters { version, voters: machines } => Some(self.machines(version, machines)),
            Request::Write { key, command } => self.write(token, key, command),
            Request::ReadStore | Request::Adopted | Request::Feed { .. } if !self.can_commit() => {
                Some(Reply::Redirect { view: self.view.clone() })
            }
            Request::Adopted => Some(Reply::Adopted { adopted: self.store.adopted.clone() }),
            Request::ReadStore => Some(Reply::Store { store: Box::new(self.store.clone()) }),
            Request::Feed { node, enrolled, .. } if self.store.nodes.get(&node) != Some(&enrolled) => {
                Some(Reply::NotEnrolled)
            }
            Request::Feed { node, addr, last_change: have, .. } => self.feed(token, node, addr, have),
        };
        if let Some(r) = rep {
            self.outputs.push(Output::Reply(token, r));
        }
    }

    pub(crate) fn leases(&mut self) -> &mut Leases {
        let (now, nodes, dismissed_leases, unknown_leases) =
            (self.now, &self.store.nodes, &self.dismissed_leases, self.unknown_leases_until);
        self.leases.get_or_insert_with(|| Leases::begin(now, nodes.keys(), dismissed_leases, unknown_leases))
    }

    /// What came after `have`, at once; if there is nothing, as soon as there is, or after a while (§5.2). The node
    /// counts its lease from before it asked, so it may wait here.
    fn feed(&mut self, token: u64, node: Name, addr: Name, have: ChangeNumber) -> Option<Reply> {
        let now = self.now;
        let applied = have.min(self.store.last_change);
        let lease_ms = self.leases().grant(now, &node, &addr, applied);
        if have != self.store.last_change {
            return Some(self.changes_since(have, lease_ms));
        }
        // One poll a node: what an earlier one waits for, this one asks.
        let (old, rest) = std::mem::take(&mut self.pending_polls).into_iter().partition(|p| p.node == node);
        self.pending_polls = rest;
        self.answer_polls(old);
        self.pending_polls.push(PendingPoll {
            token,
            node,
            last_change: have,
            deadline: now + FEED_POLL_WAIT,
        });
        None
    }

    fn answer_polls(&mut self, polls: Vec<PendingPoll>) {
        for p in polls {
            let rep = match self.can_commit() {
                true => self.changes_since(p.last_change, NODE_LEASE),
                false => Reply::Redirect { view: self.view.clone() },
            };
            self.outputs.push(Output::Reply(p.token, rep));
        }
    }

    fn write(&mut self, token: u64, key: Name, cmd: Command) -> Option<Reply> {
        if !self.is_head() {
            return Some(Reply::Redirect { view: self.view.clone() });
        }
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            return Some(Reply::Rejected {
                error: ErrorCode::ChainUnavailable
                    .with_detail("too many writes wait")
                    .with_retry_after(1_000),
            });
        }
        let ends = AckLevel::for_command(&cmd);
        let (n, answer, contact_after) = match self.recorded_answer(&key, &cmd) {
            Some(recorded) => (recorded.entry, recorded.answer, Some(self.request_contact(&cmd))),
            None if self.disk_usage.is_reserve_touched() && cmd.is_document() => {
                let why = ErrorCode::ChainUnavailable
                    .with_detail("the disk is nearly full")
                    .with_retry_after(1_000);
                return Some(Reply::Rejected { error: why });
            }
            None => {
                let had = self.store.last_change;
                let e = Entry { number: had + 1, key, command: cmd };
                let a = self.append_entry(&e, PackedEntry::pack(&e))?;
                self.forward_entries(had);
                (had + 1, a, None)
            }
        };
        let ends = if matches!(answer, Answer::Rejected(_)) { AckLevel::Committed } else { ends };
        self.pending_writes.push(PendingWrite {
            token,
            number: n,
            answer,
            ack_level: ends,
            contact_after,
            deadline: self.now + WRITE_TIMEOUT,
        });
        None
    }

    /// One disk machine is added or taken away at a time (§5.3).
    fn machines(&mut self, version: Version, machines: Vec<Voter>) -> Reply {
        let old = &self.view.voters;
        let gone = old.iter().filter(|m| !machines.contains(m)).count();
        let come = machines.iter().filter(|m| !old.contains(m)).count();
        let members: Vec<Name> =
            self.view.members.iter().filter(|n| machines.iter().any(|m| m.name == **n)).cloned().collect();
        if version != self.view.version || gone + come != 1 || members.is_empty() {
            let why = format!("the view is at {}; {come} would come and {gone} go", self.view.version);
            return Reply::Rejected { error: ErrorCode::MembershipChangeRejected.with_detail(why) };
        }
        let want = View { version: version + 1, members, voters: machines };
        self.propose(want);
        Reply::Redirect { view: self.view.clone() }
    }

    /// After every step: the tail commits, the head answers writers whose time has come.
    pub(crate) fn commit_and_answer(&mut self) {
        if self.can_commit() {
            let now = self.now;
            let n = self.store.last_change;
            if self.served_version != self.view.version {
                self.served_version = self.view.version;
                self.outputs.push(Output::Persist(Record::Served { version: self.served_version }));
            }
            let f = self.leases().in_force(now, n);
            let moved = n > self.committed || f > self.in_force;
            self.committed = n;
            self.in_force = self.in_force.max(f);
            if moved && let Some(p) = self.view.neighbour(&self.name, -1).cloned() {
                let m = self.acknowledgement();
                self.send(&p, m);
            }
        }
        let (serves, n, at) = (self.can_commit(), self.store.last_change, self.now);
        let over = |p: &PendingPoll| !serves || p.last_change < n || at >= p.deadline;
        let (done, rest) = std::mem::take(&mut self.pending_polls).into_iter().partition(over);
        self.pending_polls = rest;
        self.answer_polls(done);
        if self.commit_times.back().is_none_or(|k| k.0 < self.committed) {
            self.commit_times.push_back((self.committed, self.now));
            if self.commit_times.len() > MAX_COMMIT_TIMES {
                self.commit_times.pop_front();
            }
        }
        let (c, f, now, head) = (self.committed, self.in_force, self.now, self.is_head());
        let mut keep = Vec::new();
        for w in std::mem::take(&mut self.pending_writes) {
            let done = match w.ack_level {
                AckLevel::Committed => w.number <= c,
                AckLevel::InForce => w.number <= f,
                AckLevel::InForceOrDelayed => {
                    w.number <= f || self.committed_for(w.number).is_some_and(|ms| ms >= ADOPT_ACK_DELAY)
                }
            };
            if !head {
                self.outputs.push(Output::Reply(w.token, Reply::Redirect { view: self.view.clone() }));
            } else if done && w.contact_after.is_none_or(|beat| self.in_contact_since(beat)) {
                self.outputs
                    .push(Output::Reply(w.token, Reply::Answer { number: w.number, answer: w.answer }));
            } else if now >= w.deadline {
                let why = ErrorCode::ChainUnavailable
                    .with_detail("not acknowledged yet; ask again with the same key")
                    .with_unknown_outcome();
                self.outputs
                    .push(Output::Reply(w.token, Reply::Rejected { error: why.with_retry_after(500) }));
            } else {
                keep.push(w);
            }
        }
        self.pending_writes = keep;
    }

    /// For how long, at least, this keeper has known that `n` is committed.
    fn committed_for(&self, n: ChangeNumber) -> Option<Millis> {
        self.commit_times.iter().find(|k| k.0 >= n).map(|k| self.now - k.1)
    }
}
