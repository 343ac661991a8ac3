//! What `quincehatch-lab bench capacity` measures with (§9.6, docs/CAPACITY.md): hollow nodes, which run the real control code
//! and take no traffic, and parts of it alone at sizes that no one machine holds as a fleet.
pub mod counted;
pub mod fit;
pub mod hollow;
pub mod parts;
pub mod port;
pub mod sessions;
pub mod tail;

use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, Role, ServerRecord};
use std::path::{Path, PathBuf};

/// Servers of one group.
pub const COPIES: usize = 3;

/// What a thread has used so far by the kernel's account, in milliseconds.
pub fn used_ms(task: &Path) -> f64 {
    let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1e6
}

/// This thread, where another can read its account.
pub fn this_thread() -> PathBuf {
    std::fs::read_link("/proc/thread-self").map(|p| PathBuf::from("/proc").join(p)).unwrap_or_default()
}

/// Processor milliseconds that `f` takes on this thread.
pub fn cost<T>(f: impl FnOnce() -> T) -> (f64, T) {
    let used = || {
        let t = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        t.tv_sec as f64 * 1e3 + t.tv_nsec as f64 / 1e6
    };
    let had = used();
    let t = f();
    (used() - had, t)
}

/// Memory of this process that is in use, in KiB.
pub fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) * 4.0
}

/// A blueprint with one rule, one placement and one group for each database; `turn` changes one of the rules.
pub fn blueprint(groups: usize, turn: u64) -> String {
    let (mut places, mut rules, mut gs) = (Vec::new(), Vec::new(), Vec::new());
    for g in 0..groups.max(1) {
        // Names that do not pack too well.
        let tag = quincehatch_core::hash64(&[&g.to_le_bytes()]) >> 20;
        places.push(format!(r#"{{"name":"p{tag:x}","select":{{"group":["g{g:04}"]}}}}"#));
        let ms = if g == groups / 2 { 2_000 + turn } else { 2_000 };
        let aims = format!(r#""timeout_ms":{ms},"fresh_ms":1200,"aim_ms":800,"priority":1"#);
        rules.push(format!(
            r#"{{"name":"r{tag:x}","class":"order","when":{{"db":["d{tag:x}"]}},"placement":"p{tag:x}",{aims}}}"#
        ));
        gs.push(format!(r#"{{"name":"g{g:04}","links":84,"sync_replicas":1}}"#));
    }
    let (p, r, g) = (places.join(","), rules.join(","), gs.join(","));
    format!(r#"{{"placements":[{p}],"rules":[{r}],"groups":[{g}]}}"#)
}

/// Server `i` of all, as its beat has it.
pub fn standing(i: usize, seq: u64) -> ServerRecord {
    let (g, k) = (i / COPIES, i % COPIES);
    ServerRecord {
        server: format!("s{g:04}-{k}").into(),
        group: format!("g{g:04}").into(),
        addr: format!("10.{}.{}.{}:5432", k, g / 250, g % 250).into(),
        zone: format!("d{k}").into(),
        slots: 5,
        draining: false,
        role: if k == 0 { Role::Primary } else { Role::Replica },
        seq,
    }
}

pub fn settings(i: usize, mesh: String, seeds: Vec<String>, keepers: Vec<String>) -> NodeSettings {
    let none = || "127.0.0.1:1".to_owned();
    NodeSettings {
        name: format!("n{i:04}"),
        zone: format!("d{}", i % 5),
        client_listener: none(),
        operator_listener: none(),
        gossip_listener: mesh,
        seeds,
        keepers,
        platform: none(),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

pub fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| format!("n{i:04}").into()).collect()
}
