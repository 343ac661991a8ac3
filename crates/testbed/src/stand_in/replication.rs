//! Replication and beats of a stand-in (§3.2, §3.3).
use super::StandIn;
use crate::database::{PullRequest, PullResponse};
use quincehatch_runtime::seam;
use quincehatch_wire::http::{Call, HttpConnection, post_once};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Follows whichever peer leads; one link is kept while it answers.
pub async fn follow_primary(s: Arc<StandIn>) {
    let mut at = 0;
    let mut wire: Option<HttpConnection> = None;
    loop {
        if s.is_primary()
            || s.args.peers.is_empty()
            || s.faults.is_set(&s.faults.deaf)
            || s.faults.is_set(&s.faults.dark)
        {
            wire = None;
            seam::sleep(Duration::from_millis(20)).await;
            continue;
        }
        let lag = s.faults.lag_ms.load(Ordering::SeqCst);
        if lag > 0 {
            seam::sleep(Duration::from_millis(lag)).await;
        }
        let peer = s.args.peers[at % s.args.peers.len()].clone();
        let got = seam::timeout(Duration::from_millis(1_500), pull_from(&s, &peer, &mut wire)).await;
        let took = got.ok().flatten().is_some_and(|p| s.with_db(|d| d.apply_pull(p)));
        if !took {
            wire = None;
            at += 1;
            seam::sleep(Duration::from_millis(30)).await;
        }
    }
}

async fn pull_from(s: &StandIn, peer: &str, wire: &mut Option<HttpConnection>) -> Option<PullResponse> {
    let p = s.with_db(|d| PullRequest { server: d.name.clone(), fence: d.fence, have: d.log_end() });
    let body = json!(p);
    if wire.is_none() {
        *wire = HttpConnection::open(peer, None).await.ok();
    }
    let c = Call { method: "POST", path: "/v1/pull", body: &body, token: None };
    let (_, v) = wire.as_mut()?.ask(&c).await.ok()?;
    serde_json::from_value(v).ok()
}

/// Answers a replica: at once when there is news, else after a short wait.
pub async fn serve_pull(s: &StandIn, p: PullRequest) -> Value {
    for _ in 0..2 {
        let moved = s.log_changed.notified();
        tokio::pin!(moved);
        moved.as_mut().enable();
        let had = s.db.lock().unwrap().commit;
        let got = s.with_db(|d| d.serve_pull(&p, 512).map(|g| (g, d.commit)));
        match got {
            None => return s.failure("not-primary", "this server does not lead"),
            Some((g, c)) if !g.recs.is_empty() || g.fences.is_some() || c > had => return json!(g),
            Some(_) => {}
        }
        let _ = seam::timeout(Duration::from_millis(100), moved).await;
    }
    s.with_db(|d| d.serve_pull(&p, 512))
        .map_or_else(|| s.failure("not-primary", "this server does not lead"), |g| json!(g))
}

/// Beats to two nodes at a time.
pub async fn send_heartbeats(s: Arc<StandIn>) {
    let mut at = 0;
    while !s.args.operator_addresses.is_empty() {
        if !s.faults.is_set(&s.faults.dark) {
            let beat = json!(s.heartbeat());
            for i in 0..2.min(s.args.operator_addresses.len()) {
                let desk = s.args.operator_addresses[(at + i) % s.args.operator_addresses.len()].clone();
                let beat = beat.clone();
                seam::spawn(async move {
                    let _ = post_once(&desk, "/beat", &beat, Duration::from_millis(800)).await;
                });
            }
            at += 1;
        }
        seam::sleep(Duration::from_millis(500)).await;
    }
}
