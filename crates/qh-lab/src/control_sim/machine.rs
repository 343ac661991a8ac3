//! The process of one machine: a real keeper run as the daemon runs it, and the control door before it. What a step
//! persists is synced before anything of the same step leaves; inputs wait meanwhile.
use super::call_kind::CallKind;
use super::cluster::Cluster;
use super::disk::Disk;
use super::door;
use super::recovery::recover;
use crate::sim::core::Pid;
use qh_core::{Ms, Name, now, rt};
use qh_state::keeper::{Input, Output, Record};
use qh_state::{Keeper, KeeperRequest, KeeperResponse, PeerMessage, Reply, Request};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

pub type Process = Arc<Mutex<KeeperProcess>>;

const TICK: Duration = Duration::from_millis(20);
/// Inputs that share one sync.
const BATCH: usize = 65;
/// Inputs that wait at most; more are dropped, as with the daemon's full channel.
const INBOX: usize = 1_024;

struct Call {
    kind: CallKind,
    answer: oneshot::Sender<Reply>,
}

pub struct KeeperProcess {
    cluster: Arc<Cluster>,
    index: usize,
    pid: Pid,
    keeper: Keeper,
    disk: Arc<Mutex<Disk>>,
    inbox: VecDeque<Input>,
    /// A sync is under way.
    busy: bool,
    calls: BTreeMap<u64, Call>,
    next_token: u64,
}

/// Starts the machine's process from its disk.
pub fn start(cluster: &Arc<Cluster>, index: usize, pid: Pid) {
    let (address, disk, seeds) = {
        let mut state = cluster.state.lock().unwrap();
        state.machines[index].pid = pid;
        let machine = &state.machines[index];
        (machine.address.clone(), machine.disk.clone(), state.seeds.clone())
    };
    let keeper = recover(cluster, &address, &disk, &seeds);
    let process = Arc::new(Mutex::new(KeeperProcess {
        cluster: cluster.clone(),
        index,
        pid,
        keeper,
        disk,
        inbox: VecDeque::new(),
        busy: false,
        calls: BTreeMap::new(),
        next_token: 0,
    }));
    cluster.state.lock().unwrap().machines[index].process = Some(process.clone());
    listen(cluster, &process, &address, pid);
    door::open(cluster, pid, &address, &seeds);
    rt::spawn(async move {
        loop {
            rt::sleep(TICK).await;
            tick(&process);
        }
    });
}

fn listen(cluster: &Arc<Cluster>, process: &Process, address: &Name, pid: Pid) {
    let process = process.clone();
    let on_frame = move |bytes: Vec<u8>| {
        let waiting = match borsh::from_slice::<KeeperRequest>(&bytes) {
            Ok(KeeperRequest::Peer { from, m }) => {
                input(&process, Input::Peer { from, m });
                None
            }
            Ok(KeeperRequest::Node { ask }) => Some(call(&process, ask)),
            Err(_) => None,
        };
        let answer = async move {
            let reply = match waiting {
                None => KeeperResponse::Taken,
                Some(answer) => KeeperResponse::Reply { rep: answer.await.ok()? },
            };
            borsh::to_vec(&reply).ok()
        };
        Box::pin(answer) as rt::Fut<'static, Option<Vec<u8>>>
    };
    cluster.core.listen_frames(address, pid, Arc::new(on_frame));
}

fn call(process: &Process, ask: Request) -> oneshot::Receiver<Reply> {
    let (answer, waiting) = oneshot::channel();
    let kind = CallKind::of(&ask);
    let token = {
        let mut process = process.lock().unwrap();
        process.next_token += 1;
        let token = process.next_token;
        process.calls.insert(token, Call { kind, answer });
        token
    };
    input(process, Input::Request { token, ask });
    waiting
}

/// The process is told other seeds.
pub fn tell_seeds(process: &Process, seeds: Vec<Name>) {
    input(process, Input::Seeds(seeds));
}

fn tick(process: &Process) {
    if !process.lock().unwrap().busy {
        input(process, Input::Tick);
    }
}

fn input(process: &Process, input: Input) {
    {
        let mut process = process.lock().unwrap();
        if process.inbox.len() < INBOX {
            process.inbox.push_back(input);
        }
    }
    work(process);
}

/// Steps whatever has come, unless a sync is under way.
fn work(shared: &Process) {
    let mut process = shared.lock().unwrap();
    while !process.busy && !process.inbox.is_empty() {
        let outputs = process.step_batch();
        let records: Vec<Record> = outputs.iter().filter_map(record).collect();
        let cost = process.cost();
        if records.is_empty() && cost == 0 {
            process.emit(outputs);
            continue;
        }
        if !records.is_empty() && process.disk_refuses() {
            return process.end_by_itself();
        }
        process.busy = true;
        process.disk.lock().unwrap().write(records);
        let (shared, disk) = (shared.clone(), process.disk.clone());
        let core = process.cluster.core.clone();
        rt::spawn(async move {
            let sync = disk.lock().unwrap().sync_ms;
            rt::sleep(Duration::from_millis(sync + cost)).await;
            while disk.lock().unwrap().stalled_until > core.now() {
                rt::sleep(TICK).await;
            }
            finish(&shared, outputs);
        });
    }
}

/// The sync is done: what the steps sent leaves now.
fn finish(shared: &Process, outputs: Vec<Output>) {
    {
        let mut process = shared.lock().unwrap();
        process.disk.lock().unwrap().sync();
        process.busy = false;
        process.emit(outputs);
    }
    work(shared);
}

fn record(output: &Output) -> Option<Record> {
    match output {
        Output::Persist(record) => Some(record.clone()),
        _ => None,
    }
}

impl KeeperProcess {
    fn step_batch(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        let count = self.inbox.len().min(BATCH);
        for input in self.inbox.drain(..count) {
            outputs.extend(self.keeper.step(now(), input));
        }
        let at = self.cluster.core.now();
        self.cluster.invariants.lock().unwrap().observe(at, &self.keeper);
        outputs
    }

    fn cost(&self) -> Ms {
        self.cluster.state.lock().unwrap().machines[self.index].slow_ms
    }

    fn disk_refuses(&self) -> bool {
        self.disk.lock().unwrap().full_until > self.cluster.core.now()
    }

    /// The daemon ends when its disk refuses a write, and is started again.
    fn end_by_itself(&self) {
        let at = self.cluster.core.now();
        self.cluster.invariants.lock().unwrap().ended(at, &self.keeper.me);
        self.cluster.core.crash_soon(self.pid);
    }

    fn emit(&mut self, outputs: Vec<Output>) {
        self.cluster.invariants.lock().unwrap().leaves(&self.keeper);
        for output in outputs {
            match output {
                Output::Persist(_) => {}
                Output::Send(to, message) => self.send(&to, message),
                Output::Reply(token, reply) => self.reply(token, reply),
                Output::Say(line) => self.cluster.core.say(&format!("{}: {line}", self.keeper.me)),
            }
        }
    }

    fn send(&self, to: &Name, m: PeerMessage) {
        let Some(address) = self.keeper.addr(to) else { return };
        let frame = KeeperRequest::Peer { from: self.keeper.me.clone(), m };
        let Ok(bytes) = borsh::to_vec(&frame) else { return };
        // Nobody waits for the answer: the protocol sends again.
        drop(rt::world().map(|world| world.call(&address, bytes)));
    }

    fn reply(&mut self, token: u64, reply: Reply) {
        let at = self.cluster.core.now();
        let Some(call) = self.calls.remove(&token) else {
            let mut invariants = self.cluster.invariants.lock().unwrap();
            return invariants.breach(format!("C5 {} answers a call twice at {at}", self.keeper.me));
        };
        if !call.kind.accepts(&reply) {
            let mut invariants = self.cluster.invariants.lock().unwrap();
            let text = format!("C5 {} answers {:?} with another kind at {at}", self.keeper.me, call.kind);
            invariants.breach(text);
        }
        drop(call.answer.send(reply));
    }
}
