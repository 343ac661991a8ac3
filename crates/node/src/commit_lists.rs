//! Which servers count towards a group's commits (§5.5).
use crate::ClusterNode;
use quincehatch_core::{Name, ServerState};
use quincehatch_failover::watch::{GroupObservation, ReplicaObservation};
use quincehatch_runtime::{now, seam};
use quincehatch_store::store::promotion_duty_key;
use std::sync::Arc;
use std::time::Duration;

/// How the group's servers look from here.
pub fn seen(f: &ClusterNode, g: &Name) -> Vec<ReplicaObservation> {
    let of = |r: &Arc<quincehatch_proxy::registry::ServerEntry>| {
        let st = r.status.lock().unwrap();
        let failing =
            st.failing_since.map(|at| now().saturating_sub(at)).or((st.answered_at == 0).then_some(0));
        ReplicaObservation {
            name: r.name.clone(),
            draining: st.draining_since.is_some(),
            failing_for: failing,
        }
    };
    f.proxy.registry.servers().iter().filter(|r| r.group() == *g).map(of).collect()
}

/// Once the lead shows all of its log, it is on two of the servers that count now: lists from before are let go.
pub fn settle_lists(f: &Arc<ClusterNode>, g: &Name, s: &GroupObservation) {
    let Some(lead) =
        s.primary.clone().filter(|l| !l.previous_voters.is_empty() && s.not_primary_for.is_none())
    else {
        return;
    };
    let row = lead.server.as_ref().and_then(|n| f.proxy.registry.server(n));
    let shows = row.is_some_and(|r| {
        let b = r.heartbeat.read().unwrap();
        b.role == quincehatch_core::Role::Primary && b.fence == lead.fence && b.state == ServerState::Up
    });
    if shows {
        let (f, g, key) = (f.clone(), g.clone(), format!("{}/lists/{}", promotion_duty_key(g), lead.fence));
        let cmd = quincehatch_store::Command::DropPreviousVoters { group: g, fence: lead.fence };
        seam::spawn(async move { drop(f.store_client.write(&key, cmd, Duration::from_secs(3)).await) });
    }
}
