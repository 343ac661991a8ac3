//! Keepers and nodes in virtual time, over a group behind held links.
use crate::group::Group;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, PrimaryAssignment, Role, ServerRecord};
use quincehatch_node::{Node, peer_service};
use quincehatch_runtime::seam;
use quincehatch_simulator::addresses;
use quincehatch_simulator::fleet::keeper_group::KeeperGroup;
use quincehatch_simulator::fleet::simulation::{ProcessId, Simulation};
use quincehatch_store::{Command, Voter};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct World {
    pub core: Arc<Simulation>,
    pub group: Group,
    pub fleets: Vec<Arc<Node>>,
    pub pids: Vec<ProcessId>,
}

const PLAN: &str = "[[placements]]\nname = \"p\"\nselect = { group = [\"g\"] }\n[[rules]]\nname = \"o\"\n\
    class = \"order\"\nplacement = \"p\"\n[[groups]]\nname = \"g\"\nsync_replicas = 1\n";

fn start_keepers(simulation: &Arc<Simulation>, count: usize) {
    let voter =
        |index: usize| Voter { name: format!("k{index}").into(), addr: addresses::keeper(index).into() };
    KeeperGroup::start(simulation, (0..count).map(voter).collect());
}

impl World {
    /// Three keepers and `nodes` nodes; the servers are not known yet.
    pub fn new(seed: u64, nodes: usize, group: Group) -> World {
        fastrand::seed(seed);
        let core = Simulation::new(seed, None, false);
        start_keepers(&core, 3);
        let (mut fleets, mut pids) = (Vec::new(), Vec::new());
        for i in 0..nodes {
            let set = NodeSettings {
                name: format!("n{i}"),
                zone: format!("d{i}"),
                client_listener: addresses::client_listener(i),
                operator_listener: addresses::operator_listener(i),
                gossip_listener: addresses::gossip_listener(i),
                seeds: (0..2).map(addresses::gossip_listener).collect(),
                keepers: (0..3).map(addresses::keeper).collect(),
                platform: addresses::platform(),
                token: "t".into(),
                log: "off".into(),
                threads: 1,
            };
            let live: Arc<Mutex<Option<Arc<Node>>>> = Arc::default();
            let (l, name, g) = (live.clone(), set.name.clone(), group.clone());
            let start = move |c: &Arc<Simulation>, pid| {
                let f = Node::with_ports(&set, Some(g.ports(&set.name)));
                let to = f.clone();
                let on_frame = move |b: Vec<u8>| {
                    let f = to.clone();
                    Box::pin(async move { peer_service::respond_to_frame(&f, &b).await })
                        as seam::BoxFuture<'_, _>
                };
                c.listen_frames(&set.gossip_listener, pid, Arc::new(on_frame));
                f.start();
                *l.lock().unwrap() = Some(f);
            };
            pids.push(core.add_process(&name, Arc::new(start), false));
            fleets.push(live.lock().unwrap().clone().unwrap());
        }
        World { core, group, fleets, pids }
    }
    pub fn run(&self, ms: u64) {
        self.core.run_until(self.core.now() + ms);
    }
    /// Runs until it is so; how long that took.
    pub fn until(&self, most: u64, so: impl Fn(&World) -> bool) -> u64 {
        let began = self.core.now();
        while !so(self) {
            assert!(self.core.now() < began + most, "not within {most} ms: {:#?}", self.story());
            self.run(10);
        }
        self.core.now() - began
    }
    pub fn story(&self) -> Vec<String> {
        let told = self.group.with(|s| s.told.clone());
        let words = self.fleets.iter().flat_map(|f| f.promotion_state.events.lock().unwrap().clone());
        told.into_iter().chain(words).collect()
    }
    /// The chain has the blueprint and the servers.
    pub fn known(&self) {
        let names: Vec<Name> = self.group.with(|s| s.servers.keys().cloned().collect());
        for (i, n) in names.iter().enumerate() {
            self.stand(n, i, false, 1);
        }
        let f = self.fleets[0].clone();
        self.core.run_in(self.pids[0], || {
            seam::spawn(async move {
                let cmd = Command::PushConfiguration { base: 0, text: PLAN.into(), by: "test".into() };
                f.store_client.write("plan", cmd, Duration::from_secs(5)).await.unwrap();
            })
        });
    }
    pub fn stand(&self, n: &Name, i: usize, leaving: bool, seq: u64) {
        let role = if i == 0 { Role::Primary } else { Role::Replica };
        let addr: Name = addresses::server(i).into();
        let (group, district) = ("g".into(), "d0".into());
        let at = ServerRecord {
            server: n.clone(),
            group,
            addr,
            zone: district,
            slots: 5,
            draining: leaving,
            role,
            seq,
        };
        let f = self.fleets[0].clone();
        self.core.run_in(self.pids[0], || {
            seam::spawn(async move {
                let key = format!("stand/{}/{}", at.server, at.seq);
                f.store_client
                    .write(&key, Command::RegisterServer { at }, Duration::from_secs(5))
                    .await
                    .unwrap();
            })
        });
    }
    pub fn lead(&self) -> Option<PrimaryAssignment> {
        self.fleets[0].proxy.registry.primary("g").filter(|l| l.server.is_some())
    }
    pub fn led_by(&self, server: &str) -> bool {
        self.lead().is_some_and(|l| l.server.as_deref() == Some(server))
    }
    /// Each node commits every 20 ms at the lead it knows, and passes on what it may.
    pub fn load(&self) {
        for (f, pid) in self.fleets.iter().zip(&self.pids) {
            let (f, group) = (f.clone(), self.group.clone());
            self.core.run_in(*pid, || {
                seam::spawn(async move {
                    loop {
                        seam::sleep(Duration::from_millis(20)).await;
                        let Some(l) = f.proxy.registry.primary("g") else { continue };
                        let Some(server) = l.server else { continue };
                        let _work = f.proxy.registry.in_flight.begin("g");
                        let Some(end) = group.with(|s| s.commit(&server)) else { continue };
                        // The answer is a while on its way.
                        seam::sleep(Duration::from_millis(5)).await;
                        if f.proxy.registry.record_acknowledged("g", l.fence, end) {
                            group.with(|s| s.acked = s.acked.max(end));
                        }
                    }
                })
            });
        }
    }
    pub fn end(self) {
        let breaches = self.group.with(|s| s.breaches.clone());
        assert!(breaches.is_empty(), "{breaches:#?} {:#?}", self.story());
        self.core.shut_down();
    }
}
