//! Every interleaving of a small handover: two commits, a replica that no node knows of, a suspended replica that restarts, a
//! node that gets its lease late, a coordinator that stops at any step, and a platform that carries calls out at any time.
//!
//! The invariant: whichever server leads holds each commit that a client was told of, also those of which clients are told
//! later. Nodes decide with the product's own code, and so does the promotion that follows a failed handover.
mod node;
mod state;

use node::Protocol;
use state::State;
use std::collections::{HashSet, VecDeque};

/// What was found in all states that can be reached.
struct Exploration {
    states: usize,
    /// States in which the invariant does not hold.
    violations: usize,
    /// States in which a successor leads and clients were told of a commit.
    handed_over: usize,
}

fn explore(protocol: Protocol) -> Exploration {
    let mut seen = HashSet::from([State::default()]);
    let mut queue = VecDeque::from([State::default()]);
    let (mut violations, mut handed_over) = (0, 0);
    while let Some(state) = queue.pop_front() {
        if !state.holds_invariant() {
            violations += 1;
            continue;
        }
        handed_over += usize::from(state.is_handed_over());
        for next in state.successors(protocol) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Exploration { states: seen.len(), violations, handed_over }
}

#[test]
fn whoever_leads_holds_every_acknowledged_commit_in_all_interleavings() {
    let explored = explore(Protocol::Complete);
    println!("{} states, a successor leads in {}", explored.states, explored.handed_over);
    assert_eq!(explored.violations, 0, "of {} states", explored.states);
    assert!(explored.states > 10_000 && explored.handed_over > 1_000, "{}", explored.states);
}

#[test]
fn each_step_of_the_handover_is_needed() {
    for protocol in [
        Protocol::NodesDoNotJoin,
        Protocol::LateNodesAcknowledge,
        Protocol::CatchUpBeforeJoin,
        Protocol::CloseTrustsListedReplicas,
    ] {
        assert!(explore(protocol).violations > 0, "{protocol:?}");
    }
}
