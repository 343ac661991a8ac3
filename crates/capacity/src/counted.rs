//! The same fleet over the simulator's network, where every frame is counted by role and kind (§9.1): its numbers do
//! not hang on the machine.
use super::port::Hollow;
use super::{COPIES, blueprint, settings, standing};
use quincehatch_core::Name;
use quincehatch_gossip::{GossipMessage, NodeQuery, NodeRequest};
use quincehatch_node::{ClusterNode, gossip};
use quincehatch_runtime::seam;
use quincehatch_simulator::fleet::keeper::{self, Disk, KeeperRegistry, KeeperSetup};
use quincehatch_simulator::fleet::network::FrameHandler;
use quincehatch_simulator::fleet::simulation::{ProcessId, Simulation};
use quincehatch_store::keeper::RecoveredState;
use quincehatch_store::{Command, KeeperRequest, Request, View, Voter};
use quincehatch_wire::{Call, Incoming, LENGTH_BYTES, RequestHeader};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// By kind: questions, their bytes, and those of the answers; each frame with the length before it.
pub type Tally = BTreeMap<&'static str, [u64; 3]>;
type Shared = Arc<Mutex<Tally>>;

pub const KEEPERS: usize = 5;

/// What a fleet in service sends, and how far it came.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    pub sent: Tally,
    /// Nodes that the least of them knows.
    pub least: usize,
    /// A push until it is in force, ten times, in virtual milliseconds; then one after a node died.
    pub pushed: Vec<u64>,
    pub pushed_after_death: u64,
}

/// What a request frame asks.
fn asked<Q: Call>(frame: &[u8]) -> Option<Q> {
    let (_, message) = Incoming::parse(frame).ok()?.header::<RequestHeader>().ok()?;
    borsh::from_slice(message).ok()
}

fn to_keeper(b: &[u8]) -> &'static str {
    match asked(b) {
        Some(KeeperRequest::Node { request: Request::Feed { .. } }) => "feed",
        Some(KeeperRequest::Node { request: Request::Write { .. } }) => "write",
        Some(KeeperRequest::Node { request: Request::Status }) => "status",
        Some(KeeperRequest::Node { .. }) => "other",
        _ => "none",
    }
}

fn to_node(b: &[u8]) -> &'static str {
    match asked(b) {
        Some(NodeRequest::Gossip { message }) => match message.message {
            GossipMessage::Ping { .. } | GossipMessage::Pong { .. } | GossipMessage::PingFor { .. } => {
                "mesh probes"
            }
            GossipMessage::Shuffle { .. } | GossipMessage::Shuffled { .. } => "mesh views",
            GossipMessage::Heartbeats { .. } => "mesh beats",
        },
        Some(NodeRequest::Query { query: NodeQuery::AcknowledgedEnd { .. } }) => "acked",
        Some(NodeRequest::Query {
            query: NodeQuery::SessionDigests { .. } | NodeQuery::SessionRange { .. },
        }) => "copies",
        Some(NodeRequest::Query { .. }) => "asks",
        _ => "none",
    }
}

fn tap(core: &Arc<Simulation>, addr: &str, kind: fn(&[u8]) -> &'static str, to: &Shared) {
    let to = to.clone();
    core.wrap_frame_handler(addr, move |inner: FrameHandler| {
        Arc::new(move |b: Vec<u8>| {
            let (kind, len, to, fut) = (kind(&b), (b.len() + LENGTH_BYTES) as u64, to.clone(), inner(b));
            Box::pin(async move {
                let got = fut.await;
                let back = got.as_ref().map_or(0, |g| (g.len() + LENGTH_BYTES) as u64);
                let mut t = to.lock().unwrap();
                let row = t.entry(kind).or_default();
                *row = [row[0] + 1, row[1] + len, row[2] + back];
                got
            })
        })
    });
}

fn at(kind: u64, i: usize) -> String {
    format!("127.{kind}.{}.{}:7000", i / 250, i % 250)
}

fn keepers(core: &Arc<Simulation>, to: &Shared) {
    let names: Vec<Name> = (0..KEEPERS).map(|i| format!("k{i}").into()).collect();
    let machines = names.iter().enumerate().map(|(i, n)| Voter { name: n.clone(), addr: at(1, i).into() });
    let view = View { version: 1, members: names.clone(), voters: machines.collect() };
    let all = Arc::<KeeperRegistry>::default();
    for (i, n) in names.into_iter().enumerate() {
        let disk: Disk = Arc::new(Mutex::new(RecoveredState { view: view.clone(), ..Default::default() }));
        let addr = at(1, i);
        let setup = KeeperSetup { name: n.clone(), addr, disk, registry: all.clone() };
        let to = to.clone();
        let start = move |c: &Arc<Simulation>, pid| {
            keeper::start_keeper(c, pid, &setup);
            tap(c, &at(1, i), to_keeper, &to);
        };
        let pid = core.add_process(&n, Arc::new(start), true);
        all.process_by_name.lock().unwrap().insert(n, pid);
    }
}

fn node(core: &Arc<Simulation>, i: usize, hollow: &Hollow, to: &Shared) -> (ProcessId, Arc<ClusterNode>) {
    let keepers = (0..KEEPERS).map(|i| at(1, i)).collect();
    let set = settings(i, at(2, i), (0..3).map(|i| at(2, i)).collect(), keepers);
    let live: Arc<Mutex<Option<Arc<ClusterNode>>>> = Arc::default();
    let (l, s, h, to) = (live.clone(), set.clone(), hollow.clone(), to.clone());
    let start = move |c: &Arc<Simulation>, pid| {
        let f = ClusterNode::with_ports(&s, Some(h.ports()));
        let on = f.clone();
        let on_frame = move |b: Vec<u8>| {
            let f = on.clone();
            Box::pin(async move { gossip::respond_to_frame(&f, &b).await }) as seam::BoxFuture<'_, _>
        };
        c.listen_frames(&s.gossip_listener, pid, Arc::new(on_frame));
        tap(c, &s.gossip_listener, to_node, &to);
        f.start();
        *l.lock().unwrap() = Some(f);
    };
    let pid = core.add_process(&set.name, Arc::new(start), true);
    let f = live.lock().unwrap().clone();
    (pid, f.expect("it was started"))
}

fn push(core: &Arc<Simulation>, pid: ProcessId, f: &Arc<ClusterNode>, base: u64) -> u64 {
    let began = core.now();
    let (done, f) = (Arc::new(Mutex::new(None)), f.clone());
    let told = done.clone();
    core.run_in(pid, || {
        seam::spawn(async move {
            let cmd = Command::PushConfiguration { base, text: blueprint(1, base), by: "operator".into() };
            let _ = f.store_client.write(&format!("push/{base}"), cmd, Duration::from_secs(8)).await;
            *told.lock().unwrap() = Some(());
        })
    });
    while done.lock().unwrap().is_none() && core.now() < began + 9_000 {
        core.run_until(core.now() + 1);
    }
    core.now() - began
}

/// Counts `seconds` of a fleet in service; nothing where it does not come into service.
pub fn count(nodes: usize, groups: usize, seconds: u64) -> Option<Counted> {
    fastrand::seed(9);
    let core = Simulation::new(9, None, false);
    let (to, hollow) = (Shared::default(), Hollow::default());
    keepers(&core, &to);
    let fleets: Vec<_> = (0..nodes).map(|i| node(&core, i, &hollow, &to)).collect();
    core.run_until(3_000);
    let (pid, f) = fleets[0].clone();
    core.run_in(pid, || {
        seam::spawn(async move {
            let (text, by) = (blueprint(groups, 0), Name::from("operator"));
            let _ = f
                .store_client
                .write("plan", Command::PushConfiguration { base: 0, text, by }, Duration::from_secs(8))
                .await;
            for i in 0..groups * COPIES {
                let cmd = Command::RegisterServer { at: standing(i, 1) };
                let _ = f.store_client.write(&format!("beat/{i}/1"), cmd, Duration::from_secs(8)).await;
            }
        })
    });
    // Rumors reach nearly everyone at once; the last few pairs meet as probes happen to bring them together.
    let met = |f: &Arc<ClusterNode>| f.gossip.live_nodes().len() * 100 >= nodes * 97;
    let ready = |f: &Arc<ClusterNode>| f.feed_state.lock().unwrap().primaries.len() >= groups && met(f);
    while !fleets.iter().all(|(_, f)| ready(f)) {
        let now = core.now();
        if now > 180_000 {
            return None;
        }
        core.run_until(now + 500);
    }
    core.run_until(core.now() + 4_000);
    to.lock().unwrap().clear();
    core.run_until(core.now() + seconds * 1_000);
    let got = to.lock().unwrap().clone();
    let least = fleets.iter().map(|(_, f)| f.gossip.live_nodes().len()).min().unwrap_or(0);
    let (pid, f) = &fleets[0];
    let pushed = (1..11).map(|base| push(&core, *pid, f, base)).collect();
    core.crash(fleets[nodes - 1].0, false);
    let pushed_after_death = push(&core, *pid, f, 11);
    core.shut_down();
    Some(Counted { sent: got, least, pushed, pushed_after_death })
}
