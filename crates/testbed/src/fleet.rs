//! Lays out and runs a whole fleet on this machine's loopback (§9.1).
use quincehatch_core::Labels;
use std::path::{Path, PathBuf};

/// How big a fleet is.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    pub name: String,
    pub zones: usize,
    pub nodes: usize,
    pub keepers: usize,
    pub groups: usize,
    pub replicas: usize,
    pub port: u16,
}

impl Shape {
    pub fn named(name: &str, port: u16) -> Option<Shape> {
        let (districts, nodes, keepers, groups) = match name {
            "thin" => (1, 1, 1, 1),
            "small" => (2, 3, 3, 1),
            "scripwell" => (4, 7, 4, 3),
            "lensbridge" => (3, 6, 3, 3),
            n => match n.strip_prefix("nodes:").and_then(|n| n.parse().ok()) {
                Some(n @ 1..=64) => (3, n, 3, 1),
                _ => return None,
            },
        };
        Some(Shape { name: name.into(), zones: districts, nodes, keepers, groups, replicas: 3, port })
    }
}

/// One process of the fleet.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    pub name: String,
    pub executable: String,
    pub args: Vec<String>,
    pub restart_args: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct NodeAddress {
    pub name: String,
    pub zone: String,
    pub client_listener: String,
    pub operator_listener: String,
}

#[derive(Clone, Debug)]
pub struct ServerAddress {
    pub name: String,
    pub group: String,
    pub addr: String,
}

/// A fleet's plan: every process with its arguments, and where to call.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub dir: PathBuf,
    pub shape: Shape,
    pub processes: Vec<ProcessSpec>,
    pub nodes: Vec<NodeAddress>,
    pub keepers: Vec<(String, String)>,
    pub servers: Vec<ServerAddress>,
    pub platform: String,
    pub configuration: PathBuf,
}

impl FleetPlan {
    pub fn operator_addresses(&self) -> Vec<String> {
        self.nodes.iter().map(|n| n.operator_listener.clone()).collect()
    }
}

pub const TOKEN: &str = "lab-token";

fn zone_name(i: usize) -> String {
    format!("d{}", i + 1)
}

/// Writes settings and a blueprint into `dir` and tells what to start.
pub fn write_plan(dir: &Path, shape: &Shape) -> std::io::Result<FleetPlan> {
    std::fs::create_dir_all(dir)?;
    let mut port = shape.port;
    let mut next = || {
        port += 1;
        format!("127.0.0.1:{port}")
    };
    let platform = next();
    let keepers: Vec<(String, String)> =
        (0..shape.keepers).map(|i| (format!("k{}", i + 1), next())).collect();
    let klist: Vec<String> = keepers.iter().map(|(n, a)| format!("\"{n}={a}\"")).collect();
    let kaddrs: Vec<String> = keepers.iter().map(|(_, a)| format!("\"{a}\"")).collect();
    let nodes: Vec<(NodeAddress, String)> = (0..shape.nodes)
        .map(|i| {
            let (name, district) = (format!("n{}", i + 1), zone_name(i % shape.zones));
            (NodeAddress { name, zone: district, client_listener: next(), operator_listener: next() }, next())
        })
        .collect();
    let mut procs = Vec::new();
    for (n, a) in &keepers {
        let file = dir.join(format!("{n}.toml"));
        let data = dir.join(format!("{n}.data"));
        let text =
            format!("name = \"{n}\"\naddr = \"{a}\"\nkeepers = [{}]\ndata = {data:?}\n", klist.join(", "));
        std::fs::write(&file, text)?;
        let again = vec!["--settings".into(), file.display().to_string()];
        let mut args = again.clone();
        args.push("--init".into());
        procs.push(ProcessSpec {
            name: n.clone(),
            executable: "quincehatch-keeper".into(),
            args,
            restart_args: again,
        });
    }
    let seeds: Vec<String> = nodes.iter().take(3).map(|(_, m)| format!("\"{m}\"")).collect();
    for (n, mesh) in &nodes {
        let file = dir.join(format!("{}.toml", n.name));
        let text = format!(
            "name = \"{}\"\ndistrict = \"{}\"\ndoor = \"{}\"\ndesk = \"{}\"\nmesh = \"{mesh}\"\nseeds = [{}]\n\
             keepers = [{}]\nplatform = \"{platform}\"\ntoken = \"{TOKEN}\"\n",
            n.name,
            n.zone,
            n.client_listener,
            n.operator_listener,
            seeds.join(", "),
            kaddrs.join(", ")
        );
        std::fs::write(&file, text)?;
        let args = vec!["--settings".to_owned(), file.display().to_string()];
        procs.push(ProcessSpec {
            name: n.name.clone(),
            executable: "quincehatch-node".into(),
            restart_args: args.clone(),
            args,
        });
    }
    let desks: Vec<String> = nodes.iter().map(|(n, _)| n.operator_listener.clone()).collect();
    let mut servers = Vec::new();
    for g in 0..shape.groups {
        let group = format!("g{}", g + 1);
        let addrs: Vec<String> = (0..shape.replicas).map(|_| next()).collect();
        for (i, addr) in addrs.iter().enumerate() {
            let name = format!("{group}s{}", i + 1);
            let peers: Vec<String> = addrs.iter().filter(|a| *a != addr).cloned().collect();
            let d = zone_name((g + i) % shape.zones);
            let mut args = vec!["stand".into(), "--name".into(), name.clone(), "--addr".into(), addr.clone()];
            for l in [format!("group={group}"), format!("district={d}"), format!("copies={}", shape.replicas)]
            {
                args.extend(["--label".into(), l]);
            }
            peers.iter().for_each(|p| args.extend(["--peer".into(), p.clone()]));
            desks.iter().for_each(|p| args.extend(["--desk".into(), p.clone()]));
            args.extend(["--data".into(), dir.join("servers").display().to_string()]);
            args.extend(["--relay".into(), next()]);
            procs.push(ProcessSpec {
                name: name.clone(),
                executable: "quincehatch-lab".into(),
                restart_args: args.clone(),
                args,
            });
            servers.push(ServerAddress { name, group: group.clone(), addr: addr.clone() });
        }
    }
    let mut args = vec!["platform".into(), "--addr".into(), platform.clone()];
    nodes
        .iter()
        .for_each(|(n, _)| args.extend(["--door".into(), format!("{}={}", n.zone, n.client_listener)]));
    procs.push(ProcessSpec {
        name: "platform".into(),
        executable: "quincehatch-lab".into(),
        restart_args: args.clone(),
        args,
    });
    let blueprint = dir.join("blueprint.toml");
    std::fs::write(&blueprint, configuration_for(shape))?;
    Ok(FleetPlan {
        dir: dir.into(),
        shape: shape.clone(),
        processes: procs,
        nodes: nodes.into_iter().map(|(n, _)| n).collect(),
        keepers,
        servers,
        platform,
        configuration: blueprint,
    })
}

/// One placement a group; orders and lookups choose by the visit's `db` label.
pub fn configuration_for(shape: &Shape) -> String {
    let look = if shape.name == "lensbridge" { 5_000 } else { 3_000 };
    let mut t = String::new();
    for g in 1..=shape.groups {
        t += &format!("[[placements]]\nname = \"p{g}\"\nselect = {{ group = [\"g{g}\"] }}\n\n");
    }
    for g in 1..=shape.groups {
        t += &format!(
            "[[rules]]\nname = \"order-g{g}\"\nclass = \"order\"\nwhen = {{ db = [\"g{g}\"] }}\nplacement = \"p{g}\"\n\
             timeout_ms = 1000\n\n[[rules]]\nname = \"lookup-g{g}\"\nclass = \"lookup\"\nwhen = {{ db = [\"g{g}\"] }}\n\
             placement = \"p{g}\"\ntimeout_ms = {look}\n\n"
        );
    }
    t
}

pub fn parse_labels(pairs: &[String]) -> Labels {
    pairs.iter().filter_map(|p| p.split_once('=')).map(|(k, v)| (k.into(), v.into())).collect()
}
