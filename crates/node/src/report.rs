//! A node's accounts of itself, as JSON for operators (§8.2). Never statement text, parameters or rows.
use crate::Fleet;
use quincehatch_proxy::board::ServerRow;
use quincehatch_proxy::lookup::word;
use quincehatch_runtime::now;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;

pub fn of(f: &Fleet, what: &str, key: &str) -> Value {
    match what {
        "node" => node(f),
        "servers" => Value::Array(f.node.board.rows().iter().map(|r| server(f, r)).collect()),
        "server" => f.node.board.row(key).map_or(Value::Null, |r| turns(f, &r)),
        "visit" => visit(f, key),
        "promotions" => json!(*f.duty.told.lock().unwrap()),
        "ask-promote" => {
            let (g, to) = key.split_once('=').unwrap_or((key, ""));
            let to = Some(quincehatch_core::Name::from(to)).filter(|t| !t.is_empty());
            f.duty.wants.lock().unwrap().insert(g.into(), to);
            json!(true)
        }
        "drain" => {
            let on = key != "off";
            f.node.board.draining.store(on, Ordering::SeqCst);
            log::info!(target: "node", "draining is {}", if on { "on" } else { "off" });
            json!({"draining": on, "sessions": f.node.sessions.len(), "in_hand": f.node.in_hand.load(Ordering::Relaxed)})
        }
        _ => Value::Null,
    }
}

fn node(f: &Fleet) -> Value {
    let n = &f.node;
    let plan = n.board.plan();
    let ready = n.ready();
    let c = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
    let mesh = f.mesh.mesh.lock().unwrap();
    json!({
        "name": n.set.name, "district": n.set.zone, "door": n.set.client_listener, "desk": n.set.operator_listener,
        "ready": ready.is_ok(),
        "why": ready.as_ref().map_or_else(|b| b.to_string(), |v| {
            let r = v["reduced"].as_array().map_or(0, Vec::len);
            if r > 0 { format!("reduced: {} group(s) without a reachable primary", r) } else { String::new() }
        }),
        "lease_ms": n.board.lease_left(), "version": plan.version, "change": plan.n,
        "sessions": n.sessions.len(), "copies": f.mesh.table.lock().unwrap().len(),
        "in_hand": n.in_hand.load(Ordering::Relaxed),
        "kept": c(&n.counts.kept), "nothing": c(&n.counts.nothing), "unknown": c(&n.counts.unknown),
        "live": mesh.live().len(), "view": mesh.view(), "letters": mesh.messages_sent,
    })
}

fn server(f: &Fleet, r: &ServerRow) -> Value {
    let b = r.beat.read().unwrap().clone();
    let st = r.status.lock().unwrap().clone();
    let (links, idle) = r.pool.shard.count();
    let h = r.health.lock().unwrap();
    let lead = f.node.board.lead(b.group());
    let leads = lead.is_some_and(|l| l.server.as_ref() == Some(&r.name));
    json!({
        "server": r.name, "addr": b.addr, "labels": b.labels, "role": b.role, "leads": leads,
        "state": b.state, "fence": b.fence, "position": b.position,
        "verdict": word(h.verdict), "asides": h.asides, "owing": h.overdue.owing(),
        "status_age_ms": now().saturating_sub(st.answered),
        "failing_ms": st.failing.map(|at| now().saturating_sub(at)),
        "links": links, "idle": idle, "held": r.pool.held.load(Ordering::Relaxed),
    })
}

fn turns(f: &Fleet, r: &ServerRow) -> Value {
    let h = r.health.lock().unwrap();
    let t: Vec<Value> = h
        .turns
        .iter()
        .map(|t| {
            let ev: Vec<Value> = t
                .evidence
                .iter()
                .map(|e| json!({"sign": e.sign, "weight": e.weight, "ago_ms": now().saturating_sub(e.at)}))
                .collect();
            json!({"ago_ms": now().saturating_sub(t.at), "to": word(t.to), "why": t.why, "evidence": ev})
        })
        .collect();
    let next = (!h.may_serve()).then(|| h.until.saturating_sub(now()));
    json!({"node": f.node.set.name, "server": r.name, "verdict": word(h.verdict), "trial_in_ms": next, "turns": t})
}

fn visit(f: &Fleet, key: &str) -> Value {
    let Ok(id) = key.parse::<u64>() else { return Value::Null };
    let p = f.node.paths.lock().unwrap();
    p.iter().rev().find(|r| r.id == id).map_or(Value::Null, |r| {
        json!({"visit": r.id, "what": r.what, "ms": r.ms, "code": r.code, "where": r.ran, "path": r.path})
    })
}
