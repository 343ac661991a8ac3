//! Costs of sending an adopted configuration down the chain and to the nodes.
use super::{reply_frame_bytes, start_tail};
use crate::components::adoption;
use crate::cpu::timed;
use quincehatch_store::entry_log::{EntryLog, PackedEntry};
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::limits::TRANSFER_MAX_BYTES;
use quincehatch_store::{Entry, Keeper, KeeperRequest, PeerMessage, Request};
use quincehatch_wire::{LENGTH_BYTES, REQUEST_HEADER_BYTES};

/// The token of the write. Polls have other tokens.
const WRITE_TOKEN: u64 = 0;

/// Costs at the tail of sending an adopted configuration to the nodes.
#[derive(Clone, Copy, Debug)]
pub struct AdoptionCost {
    /// Processor time in milliseconds.
    pub cpu_ms: f64,
    /// Size of the replies to all polls, in bytes.
    pub bytes: usize,
}

/// Adopts a configuration of `groups` databases while the polls of `nodes` wait for it.
pub fn adoption_cost(nodes: usize, groups: usize) -> AdoptionCost {
    let mut tail = start_tail(nodes);
    let now = tail.serving_from;
    adopt(&mut tail.keeper, now, groups, 1);
    let last_change = tail.keeper.store.last_change;
    for (index, node) in tail.nodes.iter_mut().enumerate() {
        node.last_change = last_change;
        let token = WRITE_TOKEN + 1 + index as u64;
        tail.keeper.step(now, Input::Request { token, request: node.poll() });
    }
    let adopted = timed(|| adopt(&mut tail.keeper, now + 1, groups, 2));
    AdoptionCost { cpu_ms: adopted.cpu_ms, bytes: adopted.result }
}

/// Writes an adoption. Returns the size of the replies to the pending polls, in bytes.
fn adopt(keeper: &mut Keeper, now: u64, groups: usize, number: u64) -> usize {
    let command = adoption(groups, number);
    let request = Request::Write { key: format!("adopt/{number}").into(), command };
    let outputs = keeper.step(now, Input::Request { token: WRITE_TOKEN, request });
    let poll_replies = outputs.into_iter().filter_map(|output| match output {
        Output::Reply(token, reply) if token != WRITE_TOKEN => Some(reply),
        _ => None,
    });
    poll_replies.map(reply_frame_bytes).sum()
}

/// Returns the size in bytes of the first message in which a keeper sends adopted configurations of `groups` databases
/// to the next keeper.
pub fn first_transfer_bytes(groups: usize, adoptions: u64) -> usize {
    let mut log = EntryLog::default();
    for number in 1..=adoptions {
        let key = format!("adopt/{number}/{:016x}", 1).into();
        let entry = Entry { number, key, command: adoption(groups, number) };
        log.push_back(PackedEntry::pack(&entry));
    }
    let entries = log.entries_after(0, TRANSFER_MAX_BYTES).unwrap_or_default();
    let message =
        PeerMessage::AppendEntries { version: 1, previous_change: 0, entries, last_change: adoptions };
    let request = borsh::to_vec(&KeeperRequest::Peer { from: "k0".into(), message });
    request.map_or(0, |request| request.len() + LENGTH_BYTES + REQUEST_HEADER_BYTES)
}
