//! The plan of a whole fleet on this machine's loopback: its processes, their arguments and settings files.
pub use crate::first_configuration::configuration_for;
pub use crate::shape::Shape;
use quincehatch_core::Labels;
use std::io;
use std::path::{Path, PathBuf};

/// The operator token of every fleet.
pub const TOKEN: &str = "lab-token";
/// Number of gossip seeds in the settings of every node.
const SEED_NODES: usize = 3;
/// One process of the fleet.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Its name.
    pub name: String,
    /// Name of its executable.
    pub executable: String,
    /// Arguments of the first start.
    pub args: Vec<String>,
    /// Arguments of every later start.
    pub restart_args: Vec<String>,
}

impl ProcessSpec {
    /// A process that is always started with the same arguments.
    fn new(name: &str, executable: &str, args: Vec<String>) -> ProcessSpec {
        let restart_args = args.clone();
        ProcessSpec { name: name.into(), executable: executable.into(), args, restart_args }
    }
}

/// The addresses of a node.
#[derive(Clone, Debug)]
pub struct NodeAddress {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address of the listener for clients.
    pub client_listener: String,
    /// Address of the listener for operators.
    pub operator_listener: String,
}

/// The address of a server.
#[derive(Clone, Debug)]
pub struct ServerAddress {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its address.
    pub addr: String,
}

/// Every process of a fleet with its arguments and addresses.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Folder of settings, logs and data.
    pub dir: PathBuf,
    /// Shape of the fleet.
    pub shape: Shape,
    /// The processes, in the order of their start.
    pub processes: Vec<ProcessSpec>,
    /// The nodes.
    pub nodes: Vec<NodeAddress>,
    /// Names and addresses of the keepers.
    pub keepers: Vec<(String, String)>,
    /// The servers.
    pub servers: Vec<ServerAddress>,
    /// Address of the platform.
    pub platform: String,
    /// File of the first configuration.
    pub configuration: PathBuf,
}

impl FleetPlan {
    /// Returns the addresses of the nodes' operator listeners.
    pub fn operator_addresses(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.operator_listener.clone()).collect()
    }
}

/// Allocates loopback addresses with ascending ports; the value is the last port allocated.
struct Ports(u16);

impl Ports {
    fn next(&mut self) -> String {
        self.0 += 1;
        format!("127.0.0.1:{}", self.0)
    }
}

fn zone_name(index: usize) -> String {
    format!("d{}", index + 1)
}

/// Formats texts as the items of a TOML array.
fn quoted_list<Text: AsRef<str>>(texts: impl IntoIterator<Item = Text>) -> String {
    let quoted: Vec<String> = texts.into_iter().map(|text| format!("\"{}\"", text.as_ref())).collect();
    quoted.join(", ")
}

fn write_settings(dir: &Path, name: &str, text: &str) -> io::Result<Vec<String>> {
    let file = dir.join(format!("{name}.toml"));
    std::fs::write(&file, text)?;
    Ok(vec!["--settings".into(), file.display().to_string()])
}

fn plan_keepers(dir: &Path, keepers: &[(String, String)]) -> io::Result<Vec<ProcessSpec>> {
    let all = quoted_list(keepers.iter().map(|(name, addr)| format!("{name}={addr}")));
    let mut processes = Vec::new();
    for (name, addr) in keepers {
        let data = dir.join(format!("{name}.data"));
        let text = format!("name = \"{name}\"\naddr = \"{addr}\"\nkeepers = [{all}]\ndata_dir = {data:?}\n");
        let mut process = ProcessSpec::new(name, "quincehatch-keeper", write_settings(dir, name, &text)?);
        process.args.push("--init".into());
        processes.push(process);
    }
    Ok(processes)
}

/// A node with its gossip listener.
struct PlannedNode {
    address: NodeAddress,
    gossip_listener: String,
}

fn plan_nodes(
    dir: &Path,
    nodes: &[PlannedNode],
    keepers: &[(String, String)],
    platform: &str,
) -> io::Result<Vec<ProcessSpec>> {
    let seeds = quoted_list(nodes.iter().take(SEED_NODES).map(|node| &node.gossip_listener));
    let keepers = quoted_list(keepers.iter().map(|(_, addr)| addr));
    let mut processes = Vec::new();
    for PlannedNode { address, gossip_listener } in nodes {
        let NodeAddress { name, zone, client_listener, operator_listener } = address;
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nclient_listener = \"{client_listener}\"\n\
             operator_listener = \"{operator_listener}\"\ngossip_listener = \"{gossip_listener}\"\nseeds = [{seeds}]\n\
             keepers = [{keepers}]\nplatform = \"{platform}\"\ntoken = \"{TOKEN}\"\n"
        );
        let args = write_settings(dir, name, &text)?;
        processes.push(ProcessSpec::new(name, "quincehatch-node", args));
    }
    Ok(processes)
}

/// Returns the arguments of a stand-in server without those for its peers, nodes and relay.
fn server_args(dir: &Path, server: &ServerAddress, zone: &str, shape: &Shape) -> Vec<String> {
    let mut args = vec!["stand".to_owned()];
    let mut add = |flag: &str, value: String| args.extend([flag.to_owned(), value]);
    add("--name", server.name.clone());
    add("--addr", server.addr.clone());
    add("--label", format!("group={}", server.group));
    add("--label", format!("district={zone}"));
    add("--label", format!("copies={}", shape.replicas));
    add("--data", dir.join("servers").display().to_string());
    args
}

/// Adds the servers of a group to the plan, each behind a relay.
fn plan_group(plan: &mut FleetPlan, group: usize, ports: &mut Ports) {
    let group_name = format!("g{}", group + 1);
    let addrs: Vec<String> = (0..plan.shape.replicas).map(|_| ports.next()).collect();
    for (index, addr) in addrs.iter().enumerate() {
        let name = format!("{group_name}s{}", index + 1);
        let server = ServerAddress { name, group: group_name.clone(), addr: addr.clone() };
        let zone = zone_name((group + index) % plan.shape.zones);
        let mut args = server_args(&plan.dir, &server, &zone, &plan.shape);
        for peer in addrs.iter().filter(|peer| *peer != addr) {
            args.extend(["--peer".into(), peer.clone()]);
        }
        for operator_listener in plan.operator_addresses() {
            args.extend(["--operator-listener".into(), operator_listener]);
        }
        args.extend(["--relay".into(), ports.next()]);
        plan.processes.push(ProcessSpec::new(&server.name, "quincehatch-lab", args));
        plan.servers.push(server);
    }
}

fn plan_platform(addr: &str, nodes: &[NodeAddress]) -> ProcessSpec {
    let mut args = vec!["platform".into(), "--addr".into(), addr.to_owned()];
    for node in nodes {
        args.extend(["--client-listener".into(), format!("{}={}", node.zone, node.client_listener)]);
    }
    ProcessSpec::new("platform", "quincehatch-lab", args)
}

/// Writes settings files and the first configuration into `dir` and returns the plan of the fleet.
pub fn write_plan(dir: &Path, shape: &Shape) -> io::Result<FleetPlan> {
    std::fs::create_dir_all(dir)?;
    let mut ports = Ports(shape.port);
    let platform = ports.next();
    let keepers: Vec<(String, String)> =
        (0..shape.keepers).map(|index| (format!("k{}", index + 1), ports.next())).collect();
    let node = |index: usize| {
        let address = NodeAddress {
            name: format!("n{}", index + 1),
            zone: zone_name(index % shape.zones),
            client_listener: ports.next(),
            operator_listener: ports.next(),
        };
        PlannedNode { address, gossip_listener: ports.next() }
    };
    let nodes: Vec<PlannedNode> = (0..shape.nodes).map(node).collect();
    let mut processes = plan_keepers(dir, &keepers)?;
    processes.extend(plan_nodes(dir, &nodes, &keepers, &platform)?);
    let configuration = dir.join("configuration.toml");
    std::fs::write(&configuration, configuration_for(shape))?;
    let mut plan = FleetPlan {
        dir: dir.into(),
        shape: shape.clone(),
        processes,
        nodes: nodes.into_iter().map(|node| node.address).collect(),
        keepers,
        servers: Vec::new(),
        platform,
        configuration,
    };
    for group in 0..shape.groups {
        plan_group(&mut plan, group, &mut ports);
    }
    plan.processes.push(plan_platform(&plan.platform, &plan.nodes));
    Ok(plan)
}

/// Parses labels from `name=value` pairs and skips texts of any other form.
pub fn parse_labels(pairs: &[String]) -> Labels {
    let pairs = pairs.iter().filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.into(), value.into())).collect()
}
