//! Follows the numbered feed from the tail and holds the node's lease along it (§5.2, §5.6).
use crate::ClusterNode;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{ChangeNumber, Name, ServerHeartbeat, ServerRecord, ServerState};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_store::timing::minus_clock_drift;
use quincehatch_store::{Answer, Command, FeedState, Reply, Request};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A poll not answered in this time is asked elsewhere.
const WITHIN: Duration = Duration::from_millis(600);
const ENROLL: Duration = Duration::from_secs(2);
const BYE: Duration = Duration::from_millis(400);

pub async fn run(f: Arc<ClusterNode>) {
    let (name, addr) = (f.proxy.settings.name.as_str(), f.proxy.settings.gossip_listener.as_str());
    let mut to = f.store_client.tail_address();
    let mut had = false;
    let mut stood = BTreeMap::new();
    let (mut enrolled, mut tried) = (0, 0);
    while !f.has_left.load(Ordering::SeqCst) {
        if enrolled == 0 {
            tried += 1;
            enrolled = enroll(&f, tried).await;
            f.enrollment.store(enrolled, Ordering::SeqCst);
            continue;
        }
        let (have, applied) = {
            let s = f.feed_state.lock().unwrap();
            (s.last_change, s.configuration_version)
        };
        // The lease is counted from before the question left.
        let asked = now();
        let ask =
            Request::Feed { node: name.into(), addr: addr.into(), last_change: have, applied, enrolled };
        let news = match f.store_client.call(&to, ask, WITHIN).await {
            Ok(Reply::Changes { changes, lease_ms }) => {
                let mut k = f.feed_state.lock().unwrap();
                let whole = changes.iter().all(|c| k.apply(c));
                // A gap is no ground to act on; the next poll starts from what was applied.
                whole.then_some(lease_ms)
            }
            Ok(Reply::Snapshot { snapshot, lease_ms }) => {
                let mut k = f.feed_state.lock().unwrap();
                // Never back: what is older than what was applied is not taken (§1 N10).
                let newer = Some(*snapshot)
                    .filter(|t| t.last_change >= k.last_change)
                    .and_then(FeedState::from_snapshot);
                newer.map(|t| {
                    *k = t;
                    lease_ms
                })
            }
            Ok(Reply::Redirect { view }) => {
                f.store_client.learn_view(view);
                to = f.store_client.tail_after_failure(&to).await;
                None
            }
            Ok(Reply::NotEnrolled) => {
                enrolled = 0;
                None
            }
            Ok(_) | Err(_) => {
                f.store_client.refresh_view().await;
                to = f.store_client.tail_address();
                None
            }
        };
        // What is applied is on the blackboard before the next poll says that it is.
        if f.feed_state.lock().unwrap().last_change > have {
            publish(&f, &mut stood);
        }
        if let Some(lease_ms) = news.filter(|_| !f.has_left.load(Ordering::SeqCst)) {
            f.proxy.registry.renew_lease(asked + minus_clock_drift(lease_ms));
        }
        let has = f.proxy.registry.has_lease();
        if has != had {
            let w = if has { "holds its lease" } else { "has lost its lease and takes no visits" };
            log::info!(target: "lease", "node {name} {w}");
            had = has;
        }
        // The tail holds a poll until there is news, and news is told to be applied at once.
        let fresh = f.feed_state.lock().unwrap().last_change > have;
        let gap = if news.is_some() { 20 } else { 60 };
        if !fresh {
            seam::sleep(Duration::from_millis((asked + gap).saturating_sub(now()).max(5))).await;
        }
    }
}

/// Enters this process among those that may hold leases (§5.6); 0 if that could not be had.
async fn enroll(f: &ClusterNode, tried: u64) -> ChangeNumber {
    let (node, life) = (Name::from(f.proxy.settings.name.as_str()), seam::incarnation());
    let key = format!("enroll/{node}/{life:x}/{tried}");
    match f.store_client.write(&key, Command::EnrollNode { node, incarnation: life }, ENROLL).await {
        Ok(Answer::Enrolled(n)) => n,
        _ => {
            seam::sleep(Duration::from_millis(50)).await;
            0
        }
    }
}

/// The process ends in order: it uses its lease no more, and says so, so that nobody waits for it.
pub async fn leave_cluster(f: &ClusterNode) {
    f.has_left.store(true, Ordering::SeqCst);
    f.proxy.registry.release_lease();
    let enrolled = f.enrollment.load(Ordering::SeqCst);
    if enrolled > 0 {
        let node = Name::from(f.proxy.settings.name.as_str());
        let key = format!("dismiss/{node}/{enrolled}");
        let _ = f.store_client.write(&key, Command::DismissNode { node, enrolled }, BYE).await;
    }
}

/// Puts what was applied on the blackboard.
fn publish(f: &ClusterNode, stood: &mut BTreeMap<Name, ServerRecord>) {
    if f.ports.is_some() {
        stand(f, stood);
    }
    let p = cluster_state_from(&f.feed_state.lock().unwrap(), &f.proxy.registry.cluster_state());
    let (n, version) = (p.number, p.version);
    if f.proxy.registry.set_cluster_state(p) {
        log::debug!(target: "feed", "change {n} is applied, version {version} is in force");
    }
}

/// What is known as a plan; while the blueprint stays, so does what was read of it.
pub fn cluster_state_from(k: &FeedState, had: &ClusterState) -> ClusterState {
    let (n, version, leads) = (k.last_change, k.configuration_version, k.primaries.clone());
    if had.version == version {
        return ClusterState { number: n, version, primaries: leads, ..had.clone() };
    }
    let blueprint = Configuration::parse_stored(&k.configuration_json)
        .map_err(|b| log::error!(target: "feed", "version {version} cannot be read: {b}"))
        .ok();
    let dbs = blueprint.iter().flat_map(|b| b.routes.iter().enumerate());
    let named = dbs.flat_map(|(i, r)| r.when.get("db").into_iter().flatten().map(move |db| (db, i)));
    let by_db: HashMap<Name, usize> = named.map(|(db, i)| (db.as_str().into(), i)).collect();
    log::info!(target: "feed", "version {version} is in force from change {n} on");
    ClusterState {
        number: n,
        version,
        configuration: blueprint.map(Arc::new),
        primaries: leads,
        route_by_database: Arc::new(by_db),
    }
}

/// Servers that the chain knows come on the blackboard as if they had beaten here (§3.5); `stood` is what was put there
/// before.
fn stand(f: &ClusterNode, stood: &mut BTreeMap<Name, ServerRecord>) {
    let servers = f.feed_state.lock().unwrap().servers.clone();
    for s in servers.values().filter(|s| stood.get(&s.server) != Some(*s)) {
        let label = |k: &str, v: &str| (Name::from(k), Name::from(v));
        let labels =
            [label("group", &s.group), label("district", &s.zone), label("slots", &s.slots.to_string())];
        let beat = ServerHeartbeat {
            server: s.server.clone(),
            seq: s.seq + 1,
            addr: s.addr.clone(),
            labels: labels.into(),
            role: s.role,
            state: if s.draining { ServerState::Draining } else { ServerState::Up },
            ..Default::default()
        };
        f.proxy.registry.apply_heartbeat(beat);
    }
    for r in stood.keys().filter(|s| !servers.contains_key(*s)).filter_map(|s| f.proxy.registry.server(s)) {
        r.set_draining(true);
    }
    *stood = servers;
}
