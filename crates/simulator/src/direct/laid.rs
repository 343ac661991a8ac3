//! Lays a held fleet out: keepers, nodes, a group's servers, the promoter, and the origins' process.
use super::ports;
use super::site::{Server, ServerGroup};
use crate::fleet::core::{ProcessId, Simulation, StartProcess};
use crate::fleet::keeper::{self, Disk, KeeperRegistry};
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, Role};
use quincehatch_node::{ClusterNode, gossip};
use quincehatch_proxy::direct::DirectProxy;
use quincehatch_runtime::seam;
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{View, Voter};
use std::sync::{Arc, Mutex};

pub const GROUP: &str = "g";
pub const SERVERS: usize = 3;

/// One life of a node's process.
pub struct Live {
    pub fleet: Arc<ClusterNode>,
    pub held: Arc<DirectProxy>,
}

#[derive(Clone)]
pub struct NodeAt {
    pub pid: ProcessId,
    pub name: String,
    live: Arc<Mutex<Option<Arc<Live>>>>,
}

pub struct Laid {
    pub core: Arc<Simulation>,
    pub site: Arc<ServerGroup>,
    pub keepers: Vec<ProcessId>,
    pub keeper_addresses: Vec<String>,
    pub watched: Arc<KeeperRegistry>,
    pub nodes: Vec<NodeAt>,
    pub clients: ProcessId,
}

fn at(kind: u64, i: usize) -> String {
    format!("127.0.0.{kind}:{}", 1_000 + i)
}

fn build_keepers(core: &Arc<Simulation>, n: usize) -> (Vec<ProcessId>, Arc<KeeperRegistry>) {
    let names: Vec<Name> = (0..n).map(|i| format!("k{i}").into()).collect();
    let machines = names.iter().enumerate().map(|(i, n)| Voter { name: n.clone(), addr: at(1, i).into() });
    let view = View { version: 1, members: names.clone(), voters: machines.collect() };
    let all = Arc::new(KeeperRegistry { process_by_name: Mutex::default(), commit_watch: Mutex::default() });
    let mut pids = Vec::new();
    for (i, n) in names.into_iter().enumerate() {
        let disk: Disk = Arc::new(Mutex::new(RecoveredState { view: view.clone(), ..Default::default() }));
        let (name, of) = (n.clone(), all.clone());
        let start: StartProcess =
            Arc::new(move |c, pid| keeper::start_keeper(c, pid, &name, &at(1, i), &disk, &of));
        let pid = core.add_process(&n, start, false);
        all.process_by_name.lock().unwrap().insert(n, pid);
        pids.push(pid);
    }
    (pids, all)
}

fn settings(i: usize, nodes: usize, keepers_at: &[String]) -> NodeSettings {
    NodeSettings {
        name: format!("n{i}"),
        zone: format!("d{}", i % 3),
        client_listener: at(2, i),
        operator_listener: at(3, i),
        gossip_listener: at(4, i),
        seeds: (0..nodes.min(3)).map(|i| at(4, i)).collect(),
        keepers: keepers_at.to_vec(),
        platform: at(6, 0),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

fn start_node(
    core: &Arc<Simulation>,
    pid: ProcessId,
    set: &NodeSettings,
    site: &Arc<ServerGroup>,
) -> Arc<Live> {
    let fleet = ClusterNode::with_ports(set, Some(ports::ports(site, pid)));
    let held = DirectProxy::new(fleet.proxy.clone(), ports::servers(site, pid));
    let to = fleet.clone();
    let on_frame = move |b: Vec<u8>| {
        let f = to.clone();
        Box::pin(async move { gossip::respond_to_frame(&f, &b).await }) as seam::BoxFuture<'_, _>
    };
    core.listen_frames(&set.gossip_listener, pid, Arc::new(on_frame));
    fleet.start();
    let f = fleet.clone();
    seam::spawn(held.clone().trim_idle_connections(move || f.gossip.live_nodes().len()));
    Arc::new(Live { fleet, held })
}

impl NodeAt {
    pub fn live(&self) -> Option<Arc<Live>> {
        self.live.lock().unwrap().clone()
    }
}

pub fn build_fleet(seed: u64, keepers: usize, nodes: usize, bug: Option<&str>, tell: bool) -> Arc<Laid> {
    fastrand::seed(seed);
    let core = Simulation::new(seed, bug, tell);
    let (keeper_pids, watched) = build_keepers(&core, keepers);
    let keepers_at: Vec<String> = (0..keepers).map(|i| at(1, i)).collect();
    let idle: StartProcess = Arc::new(|_, _| ());
    let servers: Vec<ProcessId> =
        (0..SERVERS).map(|i| core.add_process(&format!("s{i}"), idle.clone(), true)).collect();
    let promoter = core.add_process("promoter", idle.clone(), true);
    let site = ServerGroup::new(&core, promoter);
    site.with(|st| {
        st.servers = servers
            .iter()
            .enumerate()
            .map(|(i, pid)| Server {
                name: format!("s{i}").into(),
                pid: *pid,
                addr: at(5, i).into(),
                role: if i == 0 { Role::Primary } else { Role::Replica },
                term: 1,
                ..Server::default()
            })
            .collect();
    });
    let mut all = Vec::new();
    for i in 0..nodes {
        let set = settings(i, nodes, &keepers_at);
        let live: Arc<Mutex<Option<Arc<Live>>>> = Arc::default();
        let (l, name, s) = (live.clone(), set.name.clone(), site.clone());
        let start: StartProcess = Arc::new(move |c, pid| {
            let now = start_node(c, pid, &set, &s);
            *l.lock().unwrap() = Some(now);
        });
        let pid = core.add_process(&name, start, false);
        all.push(NodeAt { pid, name, live });
    }
    let origins = core.add_process("origins", idle, true);
    let c = core.clone();
    site.pump(&c);
    Arc::new(Laid {
        core,
        site,
        keepers: keeper_pids,
        keeper_addresses: keepers_at,
        watched,
        nodes: all,
        clients: origins,
    })
}

impl Laid {
    /// Lets go of what the processes hold.
    pub fn end(&self) {
        self.core.shut_down();
        self.nodes.iter().for_each(|n| drop(n.live.lock().unwrap().take()));
        self.site.with(|s| s.servers.iter_mut().for_each(|s| s.waiting.clear()));
    }
}
