//! The words that reach the chain from outside: servers' standings, blueprints; and what nodes have in force of them.
use super::client_connection::TRANSACTION_IDLE_MS;
use super::setup::{DirectFleet, GROUP, SERVERS};
use quincehatch_core::{Millis, Role, ServerRecord};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::seam;
use quincehatch_store::Command;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long after its acknowledgement a blueprint binds every node in touch.
const CONFIG_APPLY_MS: Millis = 3_000;
/// The newest versions that nodes are asked for.
const VERSIONS_CHECKED: usize = 6;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A blueprint that tells its number by a rule of its own.
fn configuration_text(number: u64) -> String {
    let rule = |name: &str, class: &str| {
        format!(
            "[[rules]]\nname = \"{name}\"\nclass = \"{class}\"\nplacement = \"p\"\nwhen = {{ db = [\"{name}\"] }}\n\
             timeout_ms = 1000\naim_ms = 300\nfresh_ms = 1500\n"
        )
    };
    let rules = [rule("o", "order"), rule("l", "lookup"), rule(&format!("v{number}"), "order")].concat();
    format!(
        "[[placements]]\nname = \"p\"\nselect = {{ group = [\"{GROUP}\"] }}\n{rules}\
         [[groups]]\nname = \"{GROUP}\"\nsync_replicas = 1\nlinks = {}\n\
         [holding]\ntxn_idle_ms = {TRANSACTION_IDLE_MS}\n\
         [judges]\nreturn_after_ms = 1000\ntrial_good = 1\nuser_timeout_ms = 4000\n",
        super::server_group::MAX_CONNECTIONS
    )
}

/// Adopts blueprints one after the other, each until it is taken.
pub async fn adopt_configurations(l: Arc<DirectFleet>, stop: Arc<AtomicBool>) {
    let chain = StoreClient::new("operator", &l.keeper_addresses);
    let mut number = 1;
    while !stop.load(Ordering::SeqCst) {
        let text = configuration_text(number);
        let cmd = Command::AdoptDocument { number, source: text.clone(), text, by: "operator".into() };
        while chain.write(&format!("adopt/{number}"), cmd.clone(), WRITE_TIMEOUT).await.is_err() {
            seam::sleep(millis(200)).await;
        }
        let at = l.core.now();
        l.group.with(|s| s.ledger.config_versions.push((number, at)));
        number += fastrand::u64(1..4);
        seam::sleep(millis(fastrand::u64(1_500..6_000))).await;
    }
}

/// One server's word of itself, whenever something of it changes.
pub async fn register_server_changes(l: Arc<DirectFleet>, i: usize) {
    let chain = StoreClient::new("operator", &l.keeper_addresses);
    loop {
        seam::sleep(millis(fastrand::u64(100..300))).await;
        let now = l.core.now();
        let pid = l.group.with(|s| s.servers[i].pid);
        let runs = {
            let m = l.core.lock();
            m.processes[pid].up && m.processes[pid].paused_until <= now
        };
        let news = l.group.with(|st| {
            let s = &mut st.servers[i];
            let is = (s.name.clone(), s.role, s.draining);
            if !runs || s.registered_as.as_ref() == Some(&is) {
                return None;
            }
            s.registration_sequence += 1;
            let (server, role, leaving) = is.clone();
            let (group, addr, district) = (GROUP.into(), s.addr.clone(), format!("d{i}").into());
            Some((
                is,
                ServerRecord {
                    server,
                    group,
                    addr,
                    zone: district,
                    slots: 5,
                    draining: leaving,
                    role,
                    seq: s.registration_sequence,
                },
            ))
        });
        let Some((is, at)) = news else { continue };
        let key = format!("beat/{}/{}", at.server, at.seq);
        if chain.write(&key, Command::RegisterServer { at }, WRITE_TIMEOUT).await.is_err() {
            continue;
        }
        let now = l.core.now();
        l.group.with(|st| {
            let s = &mut st.servers[i];
            if s.name == is.0 {
                s.drain_acknowledged_at = s.drain_acknowledged_at.or(is.2.then_some(now));
                s.registered_as = Some(is);
            }
        });
    }
}

/// A server leaves: it says so, goes on for as long as the contract has it, ends, and another takes its address and log.
pub async fn drain_and_replace(l: Arc<DirectFleet>, i: usize) {
    let old = l.group.with(|st| {
        st.servers[i].draining = true;
        st.servers[i].name.clone()
    });
    let began = l.core.now();
    let left = loop {
        seam::sleep(millis(50)).await;
        match l.group.with(|st| st.servers[i].drain_acknowledged_at) {
            Some(t) => break t,
            None if l.core.now() > began + 10_000 => break began,
            None => {}
        }
    };
    seam::sleep(millis((left + 7_600).saturating_sub(l.core.now()).max(1))).await;
    let chain = StoreClient::new("operator", &l.keeper_addresses);
    for n in 0..5 {
        let cmd = Command::DeregisterServer { server: old.clone() };
        if chain.write(&format!("depart/{old}"), cmd, WRITE_TIMEOUT).await.is_ok() {
            break;
        }
        seam::sleep(millis(100 * n)).await;
    }
    l.crash_server(i, false);
    seam::sleep(millis(fastrand::u64(300..1_500))).await;
    l.group.with(|st| {
        let n = st.next_connection_id;
        let s = &mut st.servers[i];
        (s.name, s.role) = (format!("{}x{n}", &old[..2]).into(), Role::Replica);
        (s.draining, s.drain_acknowledged_at, s.registered_as, s.registration_sequence) =
            (false, None, None, 0);
    });
    l.start_server(i);
}

/// Which version each node has in force, as its rules tell: never back within a life, and in time.
pub async fn check_config_versions(l: Arc<DirectFleet>) {
    let mut had: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    loop {
        seam::sleep(millis(100)).await;
        let now = l.core.now();
        let acked = l.group.with(|s| s.ledger.config_versions.clone());
        // A keeper that died in the midst of a step is trouble of the keepers too.
        if l.keepers.iter().any(|k| !l.core.lock().processes[*k].up) {
            l.group.with(|s| s.keepers_disturbed_until = s.keepers_disturbed_until.max(now));
        }
        let due =
            acked.iter().filter(|(_, at)| now > at + CONFIG_APPLY_MS).map(|(n, _)| *n).max().unwrap_or(0);
        for n in &l.nodes {
            let (up, life) = {
                let m = l.core.lock();
                let h = &m.processes[n.pid];
                (h.up && h.paused_until <= now, h.incarnation)
            };
            if !up {
                l.group.with(|s| {
                    s.disturbed_until
                        .insert(n.pid, now.max(s.disturbed_until.get(&n.pid).copied().unwrap_or(0)))
                });
            }
            let Some(live) = n.live().filter(|_| up) else { continue };
            let newest = acked.last().map_or(1, |e| e.0) + 4;
            let least = acked.iter().rev().nth(VERSIONS_CHECKED).map_or(1, |e| e.0);
            let has = |v: &u64| live.direct_proxy.resolve_route(&format!("v{v}")).is_some();
            let is = l.core.run_in(n.pid, || (least..=newest).rev().find(has)).unwrap_or(0);
            let before = had.insert(n.pid, (life, is)).filter(|b| b.0 == life).map_or(0, |b| b.1);
            let touch = l.group.with(|s| s.is_undisturbed(n.pid, now));
            let word = |why: &str| format!("CONFIG at {now}: {} has {is} in force {why}", n.name);
            if is < before {
                l.group.with(|s| s.ledger.record_violation(word(&format!("after {before}"))));
            } else if touch && is < due {
                l.group
                    .with(|s| s.ledger.record_violation(word(&format!("and {due} was acknowledged before"))));
            }
        }
    }
}

/// Sets all of it going, in the origins' process.
pub fn start(l: &Arc<DirectFleet>, stop: &Arc<AtomicBool>) {
    for i in 0..SERVERS {
        seam::spawn(register_server_changes(l.clone(), i));
    }
    seam::spawn(adopt_configurations(l.clone(), stop.clone()));
    seam::spawn(check_config_versions(l.clone()));
}
