//! A node's accounts of itself, as JSON for operators (§8.2). Never statement text, parameters or rows.
use crate::ClusterNode;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::now;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;

pub fn of(f: &ClusterNode, what: &str, key: &str) -> Value {
    match what {
        "node" => node(f),
        "servers" => Value::Array(f.proxy.registry.servers().iter().map(|r| server(f, r)).collect()),
        "server" => f.proxy.registry.server(key).map_or(Value::Null, |r| turns(f, &r)),
        "visit" => visit(f, key),
        "promotions" => json!(*f.promotion_state.events.lock().unwrap()),
        "ask-promote" => {
            let (g, to) = key.split_once('=').unwrap_or((key, ""));
            let to = Some(quincehatch_core::Name::from(to)).filter(|t| !t.is_empty());
            f.promotion_state.handover_requests.lock().unwrap().insert(g.into(), to);
            json!(true)
        }
        "drain" => {
            let on = key != "off";
            f.proxy.registry.draining.store(on, Ordering::SeqCst);
            log::info!(target: "node", "draining is {}", if on { "on" } else { "off" });
            json!({"draining": on, "sessions": f.proxy.sessions.len(), "in_hand": f.proxy.requests_in_flight.load(Ordering::Relaxed)})
        }
        _ => Value::Null,
    }
}

fn node(f: &ClusterNode) -> Value {
    let n = &f.proxy;
    let plan = n.registry.cluster_state();
    let ready = n.readiness();
    let c = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
    let mesh = f.gossip.membership.lock().unwrap();
    json!({
        "name": n.settings.name, "district": n.settings.zone, "door": n.settings.client_listener, "desk": n.settings.operator_listener,
        "ready": ready.is_ok(),
        "why": ready.as_ref().map_or_else(|b| b.to_string(), |v| {
            let r = v["reduced"].as_array().map_or(0, Vec::len);
            if r > 0 { format!("reduced: {} group(s) without a reachable primary", r) } else { String::new() }
        }),
        "lease_ms": n.registry.lease_remaining(), "version": plan.version, "change": plan.number,
        "sessions": n.sessions.len(), "copies": f.gossip.replicas.lock().unwrap().len(),
        "in_hand": n.requests_in_flight.load(Ordering::Relaxed),
        "kept": c(&n.outcome_counts.committed), "nothing": c(&n.outcome_counts.not_applied), "unknown": c(&n.outcome_counts.unknown),
        "live": mesh.live().len(), "view": mesh.view(), "letters": mesh.messages_sent,
    })
}

fn server(f: &ClusterNode, r: &ServerEntry) -> Value {
    let b = r.heartbeat.read().unwrap().clone();
    let st = r.status.lock().unwrap().clone();
    let connections = r.pool.slots.count();
    let h = r.health.lock().unwrap();
    let lead = f.proxy.registry.primary(b.group());
    let leads = lead.is_some_and(|l| l.server.as_ref() == Some(&r.name));
    json!({
        "server": r.name, "addr": b.addr, "labels": b.labels, "role": b.role, "leads": leads,
        "state": b.state, "fence": b.fence, "position": b.position,
        "verdict": h.state.label(), "asides": h.ejections, "owing": h.overdue.pending_count(),
        "status_age_ms": now().saturating_sub(st.answered_at),
        "failing_ms": st.failing_since.map(|at| now().saturating_sub(at)),
        "links": connections.open, "idle": connections.idle, "held": r.pool.queued.load(Ordering::Relaxed),
    })
}

fn turns(f: &ClusterNode, r: &ServerEntry) -> Value {
    let h = r.health.lock().unwrap();
    let t: Vec<Value> = h
        .transitions
        .iter()
        .map(|t| {
            let ev: Vec<Value> = t
                .evidence
                .iter()
                .map(|e| json!({"sign": e.signal, "weight": e.weight, "ago_ms": now().saturating_sub(e.at)}))
                .collect();
            json!({"ago_ms": now().saturating_sub(t.at), "to": t.to.label(), "why": t.reason, "evidence": ev})
        })
        .collect();
    let next = (!h.is_healthy()).then(|| h.ejected_until.saturating_sub(now()));
    json!({"node": f.proxy.settings.name, "server": r.name, "verdict": h.state.label(), "trial_in_ms": next, "turns": t})
}

fn visit(f: &ClusterNode, key: &str) -> Value {
    let Ok(id) = key.parse::<u64>() else { return Value::Null };
    let p = f.proxy.traces.lock().unwrap();
    p.iter().rev().find(|r| r.id == id).map_or(Value::Null, |r| {
        json!({"visit": r.id, "what": r.operation, "ms": r.duration_ms, "code": r.code, "where": r.site, "path": r.steps})
    })
}
