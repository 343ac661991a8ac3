//! The processes of a simulated fleet (§9.1): nodes, servers, platform and callers are the very code that runs on a
//! real one; what stands here only gives them addresses.
use super::core::{ProcessId, Simulation, StartProcess};
use super::keeper::{self, Disk, KeeperRegistry};
use super::net::HttpHandler;
use bytes::Bytes;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::Name;
use quincehatch_node::{ClusterNode, client_api, gossip, operator};
use quincehatch_proxy::listener::HttpRequest;
use quincehatch_runtime::seam;
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{View, Voter};
use quincehatch_testbed::fleet::{ServerAddress, Shape, TOKEN, configuration_for};
use quincehatch_testbed::platform::{Platform, poll_readiness};
use quincehatch_testbed::stand_in::{self, StandIn, calls, repl};
use quincehatch_testbed::stmt::ConnectionState;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A server's process, and the stand-in that lives in it at the time.
#[derive(Clone)]
pub struct Server {
    pub pid: ProcessId,
    pub at: ServerAddress,
    pub live: Arc<Mutex<Option<Arc<StandIn>>>>,
    pub disk: Arc<stand_in::Disk>,
}

pub struct Laid {
    pub core: Arc<Simulation>,
    pub shape: Shape,
    pub keepers: Vec<ProcessId>,
    pub keeper_registry: Arc<KeeperRegistry>,
    pub nodes: Vec<ProcessId>,
    pub fleets: Vec<Arc<Mutex<Option<Arc<ClusterNode>>>>>,
    pub servers: Vec<Server>,
    /// One a group, under a name of its own; not running at first.
    pub spares: Vec<Server>,
    pub desks: Vec<String>,
    pub platform: String,
    /// Those with a lower number are the fleet and its servers.
    pub platform_process: ProcessId,
    pub callers: ProcessId,
    pub blueprint: String,
}

fn addr(kind: u64, i: usize) -> String {
    format!("127.0.0.{kind}:{}", 1_000 + i)
}
fn district(i: usize, of: usize) -> String {
    format!("d{}", i % of + 1)
}

fn settings(shape: &Shape, i: usize) -> NodeSettings {
    NodeSettings {
        name: format!("n{}", i + 1),
        zone: district(i, shape.zones),
        client_listener: addr(2, i),
        operator_listener: addr(3, i),
        gossip_listener: addr(4, i),
        seeds: (0..shape.nodes.min(3)).map(|i| addr(4, i)).collect(),
        keepers: (0..shape.keepers).map(|i| addr(1, i)).collect(),
        platform: addr(6, 0),
        token: TOKEN.into(),
        log: "off".into(),
        threads: 1,
    }
}

fn knock(v: super::net::Visit) -> HttpRequest {
    let method = if v.path == "/ready" { "GET" } else { "POST" }.to_owned();
    let body = if v.body.is_null() { Bytes::new() } else { Bytes::from(v.body.to_string()) };
    HttpRequest { method, path: v.path, token: v.token, body }
}

fn start_node(core: &Arc<Simulation>, pid: ProcessId, set: &NodeSettings) -> Arc<ClusterNode> {
    let f = ClusterNode::new(set);
    let n = f.proxy.clone();
    let door: HttpHandler = Arc::new(move |v| {
        let n = n.clone();
        Box::pin(async move { Some(client_api::answer(&n, knock(v)).await) })
    });
    core.listen_http(&set.client_listener, pid, door, Arc::new(|_| ()));
    let g = f.clone();
    let at_desk: HttpHandler = Arc::new(move |v| {
        let f = g.clone();
        Box::pin(async move { Some(operator::answer(&f, knock(v)).await) })
    });
    core.listen_http(&set.operator_listener, pid, at_desk, Arc::new(|_| ()));
    let g = f.clone();
    core.listen_frames(
        &set.gossip_listener,
        pid,
        Arc::new(move |b| {
            let got = gossip::respond_without_probing(&g, &b);
            Box::pin(async move { got })
        }),
    );
    f.start();
    f
}

fn start_server(core: &Arc<Simulation>, pid: ProcessId, args: stand_in::StandInOptions) -> Arc<StandIn> {
    let at = args.addr.clone();
    let s = StandIn::open(args).expect("a disk in memory opens");
    let links: Arc<Mutex<BTreeMap<u64, Arc<tokio::sync::Mutex<ConnectionState>>>>> = Arc::default();
    let (t, of) = (s.clone(), links.clone());
    let http: HttpHandler = Arc::new(move |v| {
        let ctx = of.lock().unwrap().entry(v.link).or_default().clone();
        let s = t.clone();
        Box::pin(async move {
            s.faults.wait_while(&s.faults.dark).await;
            let got = calls::answer(&s, &ctx, &v.path, v.body).await.ok()?;
            s.faults.wait_while(&s.faults.dark).await;
            Some((if got.get("error").is_some() { 409 } else { 200 }, got))
        })
    });
    // A link's end drops its context, and with it its open transaction.
    let closed = Arc::new(move |id| drop(links.lock().unwrap().remove(&id)));
    core.listen_http(&at, pid, http, closed);
    seam::spawn(repl::follow(s.clone()));
    seam::spawn(repl::beats(s.clone()));
    s
}

pub fn build_fleet(seed: u64, shape: Shape, bug: Option<&str>, tell: bool) -> Laid {
    fastrand::seed(seed);
    let core = Simulation::new(seed, bug, tell);
    let names: Vec<Name> = (0..shape.keepers).map(|i| format!("k{}", i + 1).into()).collect();
    let machines = names.iter().enumerate().map(|(i, n)| Voter { name: n.clone(), addr: addr(1, i).into() });
    let view = View { version: 1, members: names.clone(), voters: machines.collect() };
    let all = Arc::new(KeeperRegistry { process_by_name: Mutex::default(), commit_watch: Mutex::default() });
    let keepers: Vec<ProcessId> = names
        .iter()
        .enumerate()
        .map(|(i, n)| {
            let disk: Disk =
                Arc::new(Mutex::new(RecoveredState { view: view.clone(), ..Default::default() }));
            let (n2, all2) = (n.clone(), all.clone());
            let start: StartProcess =
                Arc::new(move |c, pid| keeper::start_keeper(c, pid, &n2, &addr(1, i), &disk, &all2));
            let pid = core.add_process(n, start, false);
            all.process_by_name.lock().unwrap().insert(n.clone(), pid);
            pid
        })
        .collect();
    let mut fleets = Vec::new();
    let nodes: Vec<ProcessId> = (0..shape.nodes)
        .map(|i| {
            let set = settings(&shape, i);
            let live: Arc<Mutex<Option<Arc<ClusterNode>>>> = Arc::default();
            fleets.push(live.clone());
            let name = set.name.clone();
            let start: StartProcess = Arc::new(move |c, pid| {
                let f = start_node(c, pid, &set);
                *live.lock().unwrap() = Some(f);
            });
            core.add_process(&name, start, false)
        })
        .collect();
    let desks: Vec<String> = (0..shape.nodes).map(|i| addr(3, i)).collect();
    let (mut servers, mut spares) = (Vec::new(), Vec::new());
    for g in 0..shape.groups {
        // The last is a spare, which is not there at first.
        let addrs: Vec<String> =
            (0..=shape.replicas).map(|i| addr(5, g * (shape.replicas + 1) + i)).collect();
        for (i, a) in addrs.iter().enumerate() {
            let (name, group) = (format!("g{}s{}", g + 1, i + 1), format!("g{}", g + 1));
            let d = district(g + i, shape.zones);
            let labels =
                [format!("group={group}"), format!("district={d}"), format!("copies={}", shape.replicas)];
            let disk: Arc<stand_in::Disk> = Arc::default();
            let args = stand_in::StandInOptions {
                name: name.clone(),
                addr: a.clone(),
                labels: quincehatch_testbed::fleet::parse_labels(&labels),
                peers: addrs.iter().filter(|x| *x != a).cloned().collect(),
                operator_addresses: desks.clone(),
                memory_disk: Some(disk.clone()),
                ..Default::default()
            };
            let live: Arc<Mutex<Option<Arc<StandIn>>>> = Arc::default();
            let l = live.clone();
            let start: StartProcess = Arc::new(move |c, pid| {
                let s = start_server(c, pid, args.clone());
                *l.lock().unwrap() = Some(s);
            });
            let pid = core.add_process(&name, start, false);
            let s = Server { pid, at: ServerAddress { name, group, addr: a.clone() }, live, disk };
            if i < shape.replicas {
                servers.push(s);
            } else {
                core.crash(pid, false);
                spares.push(s);
            }
        }
    }
    let platform = addr(6, 0);
    let doors = (0..shape.nodes).map(|i| (district(i, shape.zones), addr(2, i))).collect();
    let (p, at) = (Platform::new(doors), platform.clone());
    let start: StartProcess = Arc::new(move |c, pid| {
        let q = p.clone();
        let http: HttpHandler = Arc::new(move |v| {
            let p = q.clone();
            Box::pin(async move { Some(p.call(&v.path, &v.body).await) })
        });
        c.listen_http(&at, pid, http, Arc::new(|_| ()));
        seam::spawn(poll_readiness(p.clone()));
    });
    let platform_pid = core.add_process("platform", start, true);
    let callers = core.add_process("callers", Arc::new(|_, _| ()), true);
    let blueprint = configuration_for(&shape);
    Laid {
        core,
        shape,
        keepers,
        keeper_registry: all,
        nodes,
        fleets,
        servers,
        spares,
        desks,
        platform,
        platform_process: platform_pid,
        callers,
        blueprint,
    }
}

impl Laid {
    /// Lets go of what the processes hold, so that nothing of the run stays behind.
    pub fn end(&self) {
        self.core.shut_down();
        self.fleets.iter().for_each(|f| drop(f.lock().unwrap().take()));
        self.servers.iter().chain(&self.spares).for_each(|s| drop(s.live.lock().unwrap().take()));
    }
}
