//! Costs of a single tail keeper that answers the polls of many nodes, in virtual time.
mod adoption;
mod load;

pub use adoption::{AdoptionCost, adoption_cost, first_transfer_bytes};
pub use load::{TailLoad, TailSecond, measure};

use crate::samples::node_names;
use quincehatch_core::Name;
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{Answer, Command, Keeper, KeeperResponse, Reply, Request, View, Voter};

/// Interval of a keeper's ticks, in milliseconds.
const TICK_MS: u64 = 20;
/// Frame overhead that is added to each reply's size. Frames have longer headers today, but the slopes of the tail in
/// docs/CAPACITY.md were measured with this value and have to be measured again if it changes.
const COUNTED_FRAME_BYTES: usize = 4;
/// Address that every node reports. The keeper does not connect to it.
const NODE_ADDRESS: &str = "127.0.0.1:20000";

/// A node that polls the tail.
struct PollingNode {
    name: Name,
    /// The number of the log entry that enrolled the node.
    enrolled: u64,
    /// The last change that was sent to the node.
    last_change: u64,
}

impl PollingNode {
    fn poll(&self) -> Request {
        Request::Feed {
            node: self.name.clone(),
            addr: NODE_ADDRESS.into(),
            last_change: self.last_change,
            applied: 1,
            enrolled: self.enrolled,
        }
    }
}

/// A keeper that is the only member of its chain, with its enrolled nodes.
struct ServingTail {
    keeper: Keeper,
    nodes: Vec<PollingNode>,
    /// Virtual time at which the keeper began to serve, in milliseconds.
    serving_from: u64,
}

/// Starts a keeper and enrolls `nodes`.
fn start_tail(nodes: usize) -> ServingTail {
    let mut keeper = single_keeper();
    let mut now = 0;
    while !keeper.is_serving() {
        keeper.step(now, Input::Tick);
        now += TICK_MS;
    }
    let enrolled = node_names(nodes).into_iter().enumerate().map(|(index, name)| {
        let entry = enroll(&mut keeper, now, index, &name);
        PollingNode { name, enrolled: entry, last_change: 0 }
    });
    let nodes = enrolled.collect();
    ServingTail { keeper, nodes, serving_from: now }
}

fn single_keeper() -> Keeper {
    let name: Name = "k0".into();
    let voters = vec![Voter { name: name.clone(), addr: name.clone() }];
    let view = View { version: 1, members: vec![name.clone()], voters };
    Keeper::new(name, 0, RecoveredState { view, ..Default::default() })
}

/// Enrolls a node. Returns the number of the log entry.
fn enroll(keeper: &mut Keeper, now: u64, index: usize, node: &Name) -> u64 {
    let command = Command::EnrollNode { node: node.clone(), incarnation: 1 };
    let request = Request::Write { key: format!("enroll/{index}").into(), command };
    // Tokens are counted down from the maximum, so that no poll has the same token.
    let token = u64::MAX - index as u64;
    let outputs = keeper.step(now, Input::Request { token, request });
    let entry = outputs.into_iter().find_map(|output| match output {
        Output::Reply(_, Reply::Answer { answer: Answer::Enrolled(entry), .. }) => Some(entry),
        _ => None,
    });
    entry.expect("the node is enrolled")
}

/// Returns the size of a reply in bytes, including [`COUNTED_FRAME_BYTES`].
fn reply_frame_bytes(reply: Reply) -> usize {
    let message = borsh::to_vec(&KeeperResponse::Reply { reply });
    message.map_or(0, |message| message.len() + COUNTED_FRAME_BYTES)
}
