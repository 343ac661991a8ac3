//! A tail alone before the polls of many nodes, in virtual time: its processor time and its answers' bytes (§5.2).
use super::{cost, names, standing};
use quincehatch_core::Name;
use quincehatch_store::entry_log::{EntryLog, PackedEntry};
use quincehatch_store::keeper::{Input, Output, RecoveredState};
use quincehatch_store::limits::TRANSFER_MAX_BYTES;
use quincehatch_store::{
    Command, Entry, Keeper, KeeperRequest, KeeperResponse, PeerMessage, Reply, Request, View, Voter,
};
use quincehatch_wire::{LENGTH_BYTES, REQUEST_HEADER_BYTES};
use std::collections::BTreeMap;

/// What a second at a tail costs, without the kernel's part.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub ms: f64,
    pub polls: f64,
    pub bytes: f64,
}

/// A node asks again so long after an answer.
const GAP: u64 = 5;
const FROM: u64 = 6_000;

fn alone() -> Keeper {
    let me: Name = "k0".into();
    let machines = vec![Voter { name: me.clone(), addr: me.clone() }];
    let view = View { version: 1, members: vec![me.clone()], voters: machines };
    Keeper::new(me, 0, RecoveredState { view, ..Default::default() })
}

/// Enrolls all nodes; the number of each one's entry, and when it was done.
fn enroll(k: &mut Keeper, all: &[Name]) -> (Vec<u64>, u64) {
    let mut t = 0;
    while !k.is_serving() {
        k.step(t, Input::Tick);
        t += 20;
    }
    let mut number = |i: usize, node: &Name| {
        let cmd = Command::EnrollNode { node: node.clone(), incarnation: 1 };
        let ask = Request::Write { key: format!("enroll/{i}").into(), command: cmd };
        let outs = k.step(t, Input::Request { token: u64::MAX - i as u64, request: ask });
        let said = outs.into_iter().find_map(|o| match o {
            Output::Reply(_, Reply::Answer { answer: quincehatch_store::Answer::Enrolled(n), .. }) => Some(n),
            _ => None,
        });
        said.expect("enrolled")
    };
    (all.iter().enumerate().map(|(i, n)| number(i, n)).collect(), t)
}

/// `nodes` poll; `changes` standings a second are written; `servers` beats a second tell nothing new.
pub fn second(nodes: usize, changes: u64, beats: u64, seconds: u64) -> Second {
    let mut k = alone();
    let all = names(nodes);
    let (enrolled, from) = enroll(&mut k, &all);
    let mut due: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for i in 0..nodes {
        due.entry(2_500 + (i as u64 * 197) % 200).or_default().push(i);
    }
    let mut have = vec![0u64; nodes];
    let mut of: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut token, mut seq) = (0u64, 1u64);
    let (mut s, mut left) = (Second::default(), 0.0);
    let until = FROM + seconds * 1_000;
    for t in from..until {
        let mut ins: Vec<(Input, Option<usize>)> = Vec::new();
        if t % 20 == 0 {
            ins.push((Input::Tick, None));
        }
        for i in due.remove(&t).unwrap_or_default() {
            token += 1;
            let (node, addr) = (all[i].clone(), Name::from("127.0.0.1:20000"));
            let ask = Request::Feed { node, addr, last_change: have[i], applied: 1, enrolled: enrolled[i] };
            ins.push((Input::Request { token, request: ask }, Some(i)));
        }
        let mut write = |n: u64, news: bool| {
            for _ in 0..n {
                token += 1;
                seq += u64::from(news);
                let at = standing((seq % 30) as usize, if news { seq } else { 1 });
                // What is news differs in something beside its number.
                let at =
                    quincehatch_core::ServerRecord { slots: if news { seq as u32 } else { at.slots }, ..at };
                let (key, cmd) = (Name::from(format!("w{token}")), Command::RegisterServer { at });
                ins.push((Input::Request { token, request: Request::Write { key, command: cmd } }, None));
            }
        };
        if t >= 2_400 {
            write((t * changes / 1_000) - (t - 1) * changes / 1_000, true);
            write((t * beats / 1_000) - (t - 1) * beats / 1_000, false);
        }
        let (ms, answers) = cost_of(&mut k, t, ins, &mut of);
        let counts = t >= FROM;
        for (i, len, n) in answers {
            have[i] = have[i].max(n);
            due.entry(t + GAP).or_default().push(i);
            if counts {
                s.polls += 1.0;
                s.bytes += len as f64;
            }
        }
        if counts {
            left += ms;
        }
    }
    let n = seconds as f64;
    Second { ms: left / n, polls: s.polls / n, bytes: s.bytes / n }
}

type Answer = (usize, usize, u64);

/// One millisecond's steps; answers to polls by node, length and newest number.
fn cost_of(
    k: &mut Keeper,
    t: u64,
    ins: Vec<(Input, Option<usize>)>,
    of: &mut BTreeMap<u64, usize>,
) -> (f64, Vec<Answer>) {
    if ins.is_empty() {
        return (0.0, Vec::new());
    }
    for (i, node) in &ins {
        if let (Input::Request { token, .. }, Some(n)) = (i, node) {
            of.insert(*token, *n);
        }
    }
    cost(|| {
        let mut out = Vec::new();
        for (i, _) in ins {
            for o in k.step(t, i) {
                let Output::Reply(token, rep) = o else { continue };
                let Some(n) = of.remove(&token) else { continue };
                let top = match &rep {
                    Reply::Changes { changes, .. } => changes.last().map_or(0, |e| e.number),
                    Reply::Snapshot { snapshot, .. } => snapshot.last_change,
                    _ => 0,
                };
                let len = borsh::to_vec(&KeeperResponse::Reply { reply: rep }).map_or(0, |b| b.len() + 4);
                out.push((n, len, top));
            }
        }
        out
    })
}

/// One adopted configuration on its way to `nodes` polls that wait for it: the tail's milliseconds, and the bytes.
pub fn adopted(nodes: usize, groups: usize) -> (f64, f64) {
    let mut k = alone();
    let all = names(nodes);
    let (enrolled, t) = enroll(&mut k, &all);
    let adopt = |k: &mut Keeper, t: u64, number: u64| {
        let (text, source) = (super::blueprint(groups, number), super::blueprint(groups, number));
        let cmd = Command::AdoptDocument { number, text, source, by: "operator".into() };
        let ask = Request::Write { key: format!("adopt/{number}").into(), command: cmd };
        let outs = k.step(t, Input::Request { token: 0, request: ask });
        let reps = outs.into_iter().filter_map(|o| match o {
            Output::Reply(token, rep) if token > 0 => {
                borsh::to_vec(&KeeperResponse::Reply { reply: rep }).ok()
            }
            _ => None,
        });
        reps.map(|b| b.len() + 4).sum::<usize>()
    };
    adopt(&mut k, t, 1);
    for (i, node) in all.into_iter().enumerate() {
        let (addr, have) = ("127.0.0.1:20000".into(), k.store.last_change);
        let ask = Request::Feed { node, addr, last_change: have, applied: 1, enrolled: enrolled[i] };
        k.step(t, Input::Request { token: i as u64 + 1, request: ask });
    }
    let (ms, bytes) = cost(|| adopt(&mut k, t + 1, 2));
    (ms, bytes as f64)
}

/// The first message in which `n` adopted configurations of `groups` databases go from one keeper to the next.
pub fn passed_bytes(groups: usize, n: u64) -> usize {
    let one = |n| {
        let (text, source) = (super::blueprint(groups, n), super::blueprint(groups, n));
        let cmd = Command::AdoptDocument { number: n, text, source, by: "operator".into() };
        Entry { number: n, key: format!("adopt/{n}/{:016x}", 1).into(), command: cmd }
    };
    let mut log = EntryLog::default();
    (1..=n).for_each(|n| log.push_back(PackedEntry::pack(&one(n))));
    let entries = log.entries_after(0, TRANSFER_MAX_BYTES).unwrap_or_default();
    let m = PeerMessage::AppendEntries { version: 1, previous_change: 0, entries, last_change: n };
    let before = LENGTH_BYTES + REQUEST_HEADER_BYTES;
    borsh::to_vec(&KeeperRequest::Peer { from: "k0".into(), message: m }).map_or(0, |b| b.len() + before)
}
