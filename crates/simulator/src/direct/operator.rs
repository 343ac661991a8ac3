//! The words that reach the chain from outside: servers' standings, blueprints; and what nodes have in force of them.
use super::conn::TRANSACTION_IDLE_MS;
use super::laid::{GROUP, Laid, SERVERS};
use quincehatch_core::{Millis, Role, ServerRecord};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::seam;
use quincehatch_store::Command;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const WRITE: Duration = Duration::from_millis(900);
/// How long after its acknowledgement a blueprint binds every node in touch.
const CONFIG_APPLY_MS: Millis = 3_000;
/// The newest versions that nodes are asked for.
const VERSIONS_CHECKED: usize = 6;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A blueprint that tells its number by a rule of its own.
fn blueprint(number: u64) -> String {
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
        super::site::LINKS
    )
}

/// Adopts blueprints one after the other, each until it is taken.
pub async fn operator(l: Arc<Laid>, stop: Arc<AtomicBool>) {
    let chain = StoreClient::new("operator", &l.keeper_addresses);
    let mut number = 1;
    while !stop.load(Ordering::SeqCst) {
        let text = blueprint(number);
        let cmd = Command::AdoptDocument { number, source: text.clone(), text, by: "operator".into() };
        while chain.write(&format!("adopt/{number}"), cmd.clone(), WRITE).await.is_err() {
            seam::sleep(ms(200)).await;
        }
        let at = l.core.now();
        l.site.with(|s| s.book.versions.push((number, at)));
        number += fastrand::u64(1..4);
        seam::sleep(ms(fastrand::u64(1_500..6_000))).await;
    }
}

/// One server's word of itself, whenever something of it changes.
pub async fn beats(l: Arc<Laid>, i: usize) {
    let chain = StoreClient::new("operator", &l.keeper_addresses);
    loop {
        seam::sleep(ms(fastrand::u64(100..300))).await;
        let now = l.core.now();
        let pid = l.site.with(|s| s.servers[i].pid);
        let runs = {
            let m = l.core.lock();
            m.processes[pid].up && m.processes[pid].paused_until <= now
        };
        let news = l.site.with(|st| {
            let s = &mut st.servers[i];
            let is = (s.name.clone(), s.role, s.leaving);
            if !runs || s.told.as_ref() == Some(&is) {
                return None;
            }
            s.seq += 1;
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
                    seq: s.seq,
                },
            ))
        });
        let Some((is, at)) = news else { continue };
        let key = format!("beat/{}/{}", at.server, at.seq);
        if chain.write(&key, Command::RegisterServer { at }, WRITE).await.is_err() {
            continue;
        }
        let now = l.core.now();
        l.site.with(|st| {
            let s = &mut st.servers[i];
            if s.name == is.0 {
                s.left = s.left.or(is.2.then_some(now));
                s.told = Some(is);
            }
        });
    }
}

/// A server leaves: it says so, goes on for as long as the contract has it, ends, and another takes its address and log.
pub async fn leave(l: Arc<Laid>, i: usize) {
    let old = l.site.with(|st| {
        st.servers[i].leaving = true;
        st.servers[i].name.clone()
    });
    let began = l.core.now();
    let left = loop {
        seam::sleep(ms(50)).await;
        match l.site.with(|st| st.servers[i].left) {
            Some(t) => break t,
            None if l.core.now() > began + 10_000 => break began,
            None => {}
        }
    };
    seam::sleep(ms((left + 7_600).saturating_sub(l.core.now()).max(1))).await;
    let chain = StoreClient::new("operator", &l.keeper_addresses);
    for n in 0..5 {
        let cmd = Command::DeregisterServer { server: old.clone() };
        if chain.write(&format!("depart/{old}"), cmd, WRITE).await.is_ok() {
            break;
        }
        seam::sleep(ms(100 * n)).await;
    }
    l.crash_server(i, false);
    seam::sleep(ms(fastrand::u64(300..1_500))).await;
    l.site.with(|st| {
        let n = st.next;
        let s = &mut st.servers[i];
        (s.name, s.role) = (format!("{}x{n}", &old[..2]).into(), Role::Replica);
        (s.leaving, s.left, s.told, s.seq) = (false, None, None, 0);
    });
    l.start_server(i);
}

/// Which version each node has in force, as its rules tell: never back within a life, and in time.
pub async fn versions(l: Arc<Laid>) {
    let mut had: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    loop {
        seam::sleep(ms(100)).await;
        let now = l.core.now();
        let acked = l.site.with(|s| s.book.versions.clone());
        // A keeper that died in the midst of a step is trouble of the keepers too.
        if l.keepers.iter().any(|k| !l.core.lock().processes[*k].up) {
            l.site.with(|s| s.keepers_disturbed_until = s.keepers_disturbed_until.max(now));
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
                l.site
                    .with(|s| s.trouble.insert(n.pid, now.max(s.trouble.get(&n.pid).copied().unwrap_or(0))));
            }
            let Some(live) = n.live().filter(|_| up) else { continue };
            let newest = acked.last().map_or(1, |e| e.0) + 4;
            let least = acked.iter().rev().nth(VERSIONS_CHECKED).map_or(1, |e| e.0);
            let has = |v: &u64| live.held.resolve_route(&format!("v{v}")).is_some();
            let is = l.core.run_in(n.pid, || (least..=newest).rev().find(has)).unwrap_or(0);
            let before = had.insert(n.pid, (life, is)).filter(|b| b.0 == life).map_or(0, |b| b.1);
            let touch = l.site.with(|s| s.is_undisturbed(n.pid, now));
            let word = |why: &str| format!("CONFIG at {now}: {} has {is} in force {why}", n.name);
            if is < before {
                l.site.with(|s| s.book.record_violation(word(&format!("after {before}"))));
            } else if touch && is < due {
                l.site.with(|s| s.book.record_violation(word(&format!("and {due} was acknowledged before"))));
            }
        }
    }
}

/// Sets all of it going, in the origins' process.
pub fn go(l: &Arc<Laid>, stop: &Arc<AtomicBool>) {
    for i in 0..SERVERS {
        seam::spawn(beats(l.clone(), i));
    }
    seam::spawn(operator(l.clone(), stop.clone()));
    seam::spawn(versions(l.clone()));
}
