//! What nodes and operators ask of a keeper: feed, writes, membership, status (§5.2, §5.6).
use crate::ack_level::AckLevel;
use crate::entry_log::PackedEntry;
use crate::keeper::{Keeper, Output, Record};
use crate::lease::Leases;
use crate::messages::{Answer, Command, Entry, Machine, Reply, Request, View};
use crate::terms::{ADOPT_WAIT, FEED, NODE_LEASE};
use quincehatch_core::{ChangeNo, Code, Ms, Name, Version};

/// Writers that may wait at the head.
const WAITERS: usize = 1024;
/// How long a writer waits before it is told to ask again with the same key.
const WRITE_WAIT: u64 = 8_000;
/// Commits whose time is remembered.
const KNOWN: usize = 64;

#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub token: u64,
    pub n: ChangeNo,
    pub answer: Answer,
    pub ends: AckLevel,
    /// Where no new entry proves it: a majority must grant a heartbeat sent after that one.
    pub contact_after: Option<u64>,
    pub until: Ms,
}

/// A node whose poll waits at the tail for news.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub token: u64,
    pub node: Name,
    pub have: ChangeNo,
    pub until: Ms,
}

impl Keeper {
    pub(crate) fn ask(&mut self, token: u64, ask: Request) {
        let rep = match ask {
            Request::Status => Some(Reply::Status { status: self.status() }),
            Request::Machines { version, machines } => Some(self.machines(version, machines)),
            Request::Write { key, cmd } => self.write(token, key, cmd),
            Request::Read | Request::Adopted | Request::Feed { .. } if !self.commits() => {
                Some(Reply::Elsewhere { view: self.view.clone() })
            }
            Request::Adopted => Some(Reply::Adopted { adopted: self.store.adopted.clone() }),
            Request::Read => Some(Reply::Store { store: Box::new(self.store.clone()) }),
            Request::Feed { node, enrolled, .. } if self.store.nodes.get(&node) != Some(&enrolled) => {
                Some(Reply::Enroll)
            }
            Request::Feed { node, addr, have, .. } => self.feed(token, node, addr, have),
        };
        if let Some(r) = rep {
            self.out.push(Output::Reply(token, r));
        }
    }

    pub(crate) fn leases(&mut self) -> &mut Leases {
        let (now, nodes, dismissed_leases, unknown_leases) =
            (self.now, &self.store.nodes, &self.dismissed_leases, self.unknown_leases_until);
        self.leases.get_or_insert_with(|| Leases::begin(now, nodes.keys(), dismissed_leases, unknown_leases))
    }

    /// What came after `have`, at once; if there is nothing, as soon as there is, or after a while (§5.2). The node
    /// counts its lease from before it asked, so it may wait here.
    fn feed(&mut self, token: u64, node: Name, addr: Name, have: ChangeNo) -> Option<Reply> {
        let now = self.now;
        let applied = have.min(self.store.n);
        let lease_ms = self.leases().grant(now, &node, &addr, applied);
        if have != self.store.n {
            return Some(self.changes_since(have, lease_ms));
        }
        // One poll a node: what an earlier one waits for, this one asks.
        let (old, rest) = std::mem::take(&mut self.pollers).into_iter().partition(|p| p.node == node);
        self.pollers = rest;
        self.end_polls(old);
        self.pollers.push(PendingPoll { token, node, have, until: now + FEED });
        None
    }

    fn end_polls(&mut self, polls: Vec<PendingPoll>) {
        for p in polls {
            let rep = match self.commits() {
                true => self.changes_since(p.have, NODE_LEASE),
                false => Reply::Elsewhere { view: self.view.clone() },
            };
            self.out.push(Output::Reply(p.token, rep));
        }
    }

    fn write(&mut self, token: u64, key: Name, cmd: Command) -> Option<Reply> {
        if !self.is_head() {
            return Some(Reply::Elsewhere { view: self.view.clone() });
        }
        if self.waiters.len() >= WAITERS {
            return Some(Reply::Declined {
                why: Code::ChainDown.because("too many writes wait").retry(1_000),
            });
        }
        let ends = AckLevel::of(&cmd);
        let (n, answer, contact_after) = match self.recorded_answer(&key, &cmd) {
            Some(recorded) => (recorded.entry, recorded.answer, Some(self.request_contact(&cmd))),
            None if self.disk_usage.is_reserve_touched() && cmd.is_document() => {
                let why = Code::ChainDown.because("the disk is nearly full").retry(1_000);
                return Some(Reply::Declined { why });
            }
            None => {
                let had = self.store.n;
                let e = Entry { n: had + 1, key, cmd };
                let a = self.append(&e, PackedEntry::of(&e))?;
                self.pass_on(had);
                (had + 1, a, None)
            }
        };
        let ends = if matches!(answer, Answer::Declined(_)) { AckLevel::Committed } else { ends };
        self.waiters.push(PendingWrite {
            token,
            n,
            answer,
            ends,
            contact_after,
            until: self.now + WRITE_WAIT,
        });
        None
    }

    /// One disk machine is added or taken away at a time (§5.3).
    fn machines(&mut self, version: Version, machines: Vec<Machine>) -> Reply {
        let old = &self.view.machines;
        let gone = old.iter().filter(|m| !machines.contains(m)).count();
        let come = machines.iter().filter(|m| !old.contains(m)).count();
        let members: Vec<Name> =
            self.view.members.iter().filter(|n| machines.iter().any(|m| m.name == **n)).cloned().collect();
        if version != self.view.version || gone + come != 1 || members.is_empty() {
            let why = format!("the view is at {}; {come} would come and {gone} go", self.view.version);
            return Reply::Declined { why: Code::MemberChange.because(why) };
        }
        let want = View { version: version + 1, members, machines };
        self.propose(want);
        Reply::Elsewhere { view: self.view.clone() }
    }

    /// After every step: the tail commits, the head answers writers whose time has come.
    pub(crate) fn commit_and_answer(&mut self) {
        if self.commits() {
            let now = self.now;
            let n = self.store.n;
            if self.served != self.view.version {
                self.served = self.view.version;
                self.out.push(Output::Persist(Record::Served { version: self.served }));
            }
            let f = self.leases().in_force(now, n);
            let moved = n > self.committed || f > self.in_force;
            self.committed = n;
            self.in_force = self.in_force.max(f);
            if moved && let Some(p) = self.view.neighbour(&self.me, -1).cloned() {
                let m = self.ack();
                self.send(&p, m);
            }
        }
        let (serves, n, at) = (self.commits(), self.store.n, self.now);
        let over = |p: &PendingPoll| !serves || p.have < n || at >= p.until;
        let (done, rest) = std::mem::take(&mut self.pollers).into_iter().partition(over);
        self.pollers = rest;
        self.end_polls(done);
        if self.known.back().is_none_or(|k| k.0 < self.committed) {
            self.known.push_back((self.committed, self.now));
            if self.known.len() > KNOWN {
                self.known.pop_front();
            }
        }
        let (c, f, now, head) = (self.committed, self.in_force, self.now, self.is_head());
        let mut keep = Vec::new();
        for w in std::mem::take(&mut self.waiters) {
            let done = match w.ends {
                AckLevel::Committed => w.n <= c,
                AckLevel::InForce => w.n <= f,
                AckLevel::Soon => w.n <= f || self.known_for(w.n).is_some_and(|ms| ms >= ADOPT_WAIT),
            };
            if !head {
                self.out.push(Output::Reply(w.token, Reply::Elsewhere { view: self.view.clone() }));
            } else if done && w.contact_after.is_none_or(|beat| self.in_contact_since(beat)) {
                self.out.push(Output::Reply(w.token, Reply::Answer { n: w.n, answer: w.answer }));
            } else if now >= w.until {
                let why =
                    Code::ChainDown.because("not acknowledged yet; ask again with the same key").unknown();
                self.out.push(Output::Reply(w.token, Reply::Declined { why: why.retry(500) }));
            } else {
                keep.push(w);
            }
        }
        self.waiters = keep;
    }

    /// For how long, at least, this keeper has known that `n` is committed.
    fn known_for(&self, n: ChangeNo) -> Option<Ms> {
        self.known.iter().find(|k| k.0 >= n).map(|k| self.now - k.1)
    }
}
