//! Flags and settings of quincehatch-node (§8.1). A flag wins over the file.
use quincehatch_config::settings::{NodeSettings, read_file};
use quincehatch_core::{Error, ErrorCode};
use quincehatch_runtime::logging::LogHandle;
use std::time::{Duration, SystemTime};

pub const HELP: &str = "quincehatch-node: a node of quincehatch

usage: quincehatch-node --settings FILE [flags]
       quincehatch-node --check --settings FILE

  --settings FILE   the settings file (TOML); flags below win over it
  --check           check the settings and end
  --name NAME       this node's name
  --district NAME   the district it stands in
  --door IP:PORT    where origins and the platform call (HTTP)
  --desk IP:PORT    where servers beat and operators call (HTTP)
  --mesh IP:PORT    where other processes of the fleet call
  --seed IP:PORT    mesh address of another node; up to three times
  --keeper IP:PORT  address of a chain keeper; once for each
  --platform IP:PORT where the platform takes promotions
  --token WORD      the operators' token
  --log SPEC        like info, or debug,mesh=warn
  --threads N       worker threads
  -h, --help        this text
  -V, --version     the version";

fn bad(e: impl std::fmt::Display) -> Error {
    ErrorCode::InvalidSettings.with_detail(e)
}

/// The settings, or nothing when all that was asked for is said.
pub fn read_from(
    args: impl IntoIterator<Item = std::ffi::OsString>,
) -> Result<Option<(NodeSettings, bool)>, Error> {
    use lexopt::prelude::*;
    let mut p = lexopt::Parser::from_args(args);
    let mut file = None;
    let mut check = false;
    let mut over: Vec<(String, String)> = Vec::new();
    while let Some(a) = p.next().map_err(bad)? {
        match a {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("quincehatch-node {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long("settings") => file = Some(p.value().and_then(|v| v.string()).map_err(bad)?),
            Long("check") => check = true,
            Long(
                k @ ("name" | "district" | "door" | "desk" | "mesh" | "seed" | "keeper" | "platform"
                | "token" | "log" | "threads"),
            ) => {
                let k = k.to_owned();
                over.push((k, p.value().and_then(|v| v.string()).map_err(bad)?));
            }
            other => return Err(bad(other.unexpected())),
        }
    }
    let mut s = match &file {
        Some(f) => read_file::<NodeSettings>(f)?,
        None => empty(),
    };
    for listed in ["seed", "keeper"] {
        if over.iter().any(|(k, _)| k == listed) {
            if listed == "seed" { s.seeds.clear() } else { s.keepers.clear() }
        }
    }
    for (k, v) in over {
        match k.as_str() {
            "name" => s.name = v,
            "district" => s.zone = v,
            "door" => s.client_listener = v,
            "desk" => s.operator_listener = v,
            "mesh" => s.gossip_listener = v,
            "seed" => s.seeds.push(v),
            "keeper" => s.keepers.push(v),
            "platform" => s.platform = v,
            "token" => s.token = v,
            "log" => s.log = v,
            _ => s.threads = v.parse().map_err(|_| bad(format_args!("--threads: {v:?} is not a number")))?,
        }
    }
    s.validate().map(|()| Some((s, check)))
}

fn empty() -> NodeSettings {
    let none = String::new;
    NodeSettings {
        name: none(),
        zone: none(),
        client_listener: none(),
        operator_listener: none(),
        gossip_listener: none(),
        seeds: vec![],
        keepers: vec![],
        platform: none(),
        token: none(),
        log: "info".into(),
        threads: 2,
    }
}

pub fn read() -> Result<Option<NodeSettings>, Error> {
    read_from(std::env::args_os().skip(1)).map(|r| {
        r.and_then(|(s, check)| {
            if check {
                println!("the settings are valid");
            }
            Some(s).filter(|_| !check)
        })
    })
}

fn settings_file() -> Option<String> {
    let args: Vec<String> = std::env::args().collect();
    args.iter().position(|a| a == "--settings").and_then(|i| args.get(i + 1).cloned())
}

/// Waits for a signal to stop. Meanwhile a changed settings file is checked again: a bad one is reported and
/// the last good one stays in force; of a good one the log level is taken at once (§8.1).
pub async fn wait_for_stop(set: &NodeSettings, log: &LogHandle) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    let file = settings_file();
    let stat = |f: &Option<String>| f.as_ref().and_then(|f| std::fs::metadata(f).ok()?.modified().ok());
    let mut seen: Option<SystemTime> = stat(&file);
    let mut in_force = set.clone();
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = int.recv() => return,
            () = tokio::time::sleep(Duration::from_millis(500)) => {}
        }
        let at = stat(&file);
        if at == seen {
            continue;
        }
        seen = at;
        match read_from(std::env::args_os().skip(1)) {
            Err(b) => log::error!(target: "node", "settings changed but stay as they were: {b}"),
            Ok(None) => {}
            Ok(Some((s, _))) => {
                let fixed = NodeSettings { log: in_force.log.clone(), ..s.clone() };
                if fixed != in_force {
                    log::warn!(target: "node", "settings changed: all but the log level wait for a restart");
                }
                if s.log != in_force.log && log.parse_new_spec(&s.log).is_ok() {
                    log::info!(target: "node", "the log level is now {}", s.log);
                }
                in_force.log = s.log;
            }
        }
    }
}
