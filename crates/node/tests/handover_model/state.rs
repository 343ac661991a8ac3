//! The states of the modelled handover and the steps between them.
use super::node::{Node, Protocol, at};
use quincehatch_core::{Name, Position};
use quincehatch_failover::direct::candidate::{CandidateSelection, SyncGroup};
use std::collections::BTreeMap;

const PRIMARY: usize = 0;
const SUCCESSOR: usize = 1;
const REPLICA: usize = 2;
const UNKNOWN: usize = 3;
const SERVERS: [&str; 4] = ["primary", "successor", "replica", "unknown"];
const COMMITS: u8 = 2;
/// How far the coordinator has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    #[default]
    Idle,
    TokenAcquired,
    Prepared,
    EndRead(u8),
    Called,
    Closed,
    Promoting(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The number of commits in each server's log.
    ends: [u8; 4],
    suspended: [bool; 4],
    has_joined_group: bool,
    leader: usize,
    /// The highest commit that the primary has confirmed, and the highest that a client was told of.
    confirmed: u8,
    acknowledged: u8,
    nodes: [Node; 2],
    phase: Phase,
    /// Whether the platform may still carry out the handover's call.
    open_call: bool,
}

impl Default for State {
    fn default() -> State {
        State {
            ends: [0; 4],
            suspended: [false; 4],
            has_joined_group: false,
            leader: PRIMARY,
            confirmed: 0,
            acknowledged: 0,
            nodes: [Node { has_lease: true, ..Node::default() }, Node::default()],
            phase: Phase::Idle,
            open_call: false,
        }
    }
}

impl State {
    pub fn holds_invariant(&self) -> bool {
        self.leader == PRIMARY || self.acknowledged <= self.ends[self.leader]
    }

    pub fn is_handed_over(&self) -> bool {
        self.leader == SUCCESSOR && self.acknowledged > 0
    }

    /// Returns the states after each step that is possible now.
    pub fn successors(&self, protocol: Protocol) -> Vec<State> {
        let mut next = Vec::new();
        self.server_steps(&mut next);
        self.node_steps(protocol, &mut next);
        self.coordinator_steps(protocol, &mut next);
        self.platform_steps(&mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut State)) -> State {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    fn server_steps(&self, next: &mut Vec<State>) {
        if self.leader == PRIMARY && self.ends[PRIMARY] < COMMITS && !self.suspended[PRIMARY] {
            next.push(self.with(|state| state.ends[PRIMARY] += 1));
        }
        for server in [SUCCESSOR, REPLICA, UNKNOWN] {
            let receives = !self.suspended[server] && (server != UNKNOWN || self.has_joined_group);
            if self.leader == PRIMARY && receives && self.ends[server] < self.ends[PRIMARY] {
                next.push(self.with(|state| {
                    state.ends[server] += 1;
                    state.confirmed = state.confirmed.max(state.ends[server]);
                }));
            }
        }
        if !self.has_joined_group && self.leader == PRIMARY {
            next.push(self.with(|state| {
                state.has_joined_group = true;
                state.ends[UNKNOWN] = state.ends[PRIMARY];
            }));
        }
        if self.suspended[REPLICA] && self.phase < Phase::Closed {
            next.push(self.with(|state| state.suspended[REPLICA] = false));
        }
    }

    fn node_steps(&self, protocol: Protocol, next: &mut Vec<State>) {
        let (has_token, is_closed) = (self.phase > Phase::Idle, self.phase >= Phase::Closed);
        for (index, node) in self.nodes.iter().enumerate() {
            if !node.has_lease {
                // A new lease comes with everything that the store holds.
                next.push(self.with(|state| {
                    let (knows_token, knows_close) = (has_token, is_closed);
                    state.nodes[index] = Node { has_lease: true, knows_token, knows_close, ..node.clone() };
                }));
                continue;
            }
            if has_token && !node.knows_token {
                next.push(self.with(|state| state.nodes[index].knows_token = true));
            }
            if node.has_joined && self.leader <= SUCCESSOR {
                next.push(self.with(|state| {
                    state.nodes[index].reported = self.ends[SUCCESSOR];
                    state.nodes[index].successor_leads |= self.leader == SUCCESSOR;
                }));
            }
            if self.confirmed > self.acknowledged && node.may_acknowledge(self.confirmed, protocol) {
                next.push(self.with(|state| state.acknowledged = state.confirmed));
            }
        }
    }

    fn coordinator_steps(&self, protocol: Protocol, next: &mut Vec<State>) {
        match self.phase {
            Phase::Idle => next.push(self.with(|state| state.phase = Phase::TokenAcquired)),
            Phase::TokenAcquired => next.push(self.with(|state| state.prepare(protocol))),
            Phase::Prepared => {
                next.push(self.with(|state| state.phase = Phase::EndRead(state.ends[PRIMARY])));
            }
            Phase::EndRead(end) if self.ends[SUCCESSOR] >= end => next.push(self.with(|state| {
                if protocol == Protocol::CatchUpBeforeJoin {
                    state.join_nodes();
                }
                state.phase = Phase::Called;
                state.open_call = true;
            })),
            Phase::Closed => self.choose(protocol, next),
            _ => {}
        }
        // The coordinator stops, or gives the handover up, and the next promotion closes the assignment.
        if self.phase > Phase::Idle && self.phase < Phase::Closed {
            next.push(self.with(|state| {
                state.phase = Phase::Closed;
                state.nodes.iter_mut().for_each(|node| node.knows_close = node.has_lease);
                state.suspended = [state.leader == PRIMARY, true, true, false];
            }));
        }
    }

    fn prepare(&mut self, protocol: Protocol) {
        if !matches!(protocol, Protocol::NodesDoNotJoin | Protocol::CatchUpBeforeJoin) {
            self.join_nodes();
        }
        self.suspended[REPLICA] = true;
        self.phase = Phase::Prepared;
    }

    fn join_nodes(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.has_joined |= node.has_lease);
    }

    /// The promotion after the close chooses among the suspended logs; the old primary may answer or not.
    fn choose(&self, protocol: Protocol, next: &mut Vec<State>) {
        let trusts_replicas = protocol == Protocol::CloseTrustsListedReplicas;
        let group = SyncGroup {
            sync_replicas: 1,
            holders: [SUCCESSOR, REPLICA].map(|server| Name::from(SERVERS[server])).into(),
            ..SyncGroup::default()
        };
        for primary_answers in [true, false] {
            let answering = [PRIMARY, SUCCESSOR, REPLICA].into_iter().skip(usize::from(!primary_answers));
            let suspended: BTreeMap<Name, Position> =
                answering.map(|server| (SERVERS[server].into(), at(self.ends[server]))).collect();
            let selection = CandidateSelection {
                group: &group,
                suspended: &suspended,
                old_primary: Some(&SERVERS[PRIMARY].into()),
                acknowledged_end: (!trusts_replicas).then(|| at(self.acknowledged)),
                acknowledged_at_least: Position::default(),
                trust_listed_replicas: trusts_replicas,
                delay_elapsed: true,
            };
            let Some(candidate) = selection.choose(None) else { continue };
            let chosen = SERVERS.iter().position(|name| candidate.server == *name).unwrap_or(PRIMARY);
            next.push(self.with(|state| state.phase = Phase::Promoting(chosen as u8)));
        }
    }

    fn platform_steps(&self, next: &mut Vec<State>) {
        if self.open_call {
            next.push(self.with(|state| {
                state.open_call = false;
                state.lead(SUCCESSOR);
            }));
        }
        if let Phase::Promoting(server) = self.phase {
            next.push(self.with(|state| {
                // The platform has seen the newer token by now.
                state.open_call = false;
                state.lead(server.into());
            }));
        }
    }

    /// Makes a server the primary with what it has received; the others are cut back.
    fn lead(&mut self, server: usize) {
        self.leader = server;
        let end = self.ends[server];
        self.ends.iter_mut().for_each(|other| *other = end.min(*other));
    }
}
