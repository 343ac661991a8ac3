//! Runs callers and a script of faults against a real fleet, then asks whether a must-never happened (§9.4).
use crate::caller::{Caller, LoadEnvironment};
use crate::configuration_pushes::push_round;
use crate::fleet::{FleetPlan, ServerAddress, TOKEN};
use crate::history::{Facts, check_history, longest_gaps_after};
use crate::run_facts::{collect_facts, read_journals, resolve_open_attempts};
use crate::running::RunningFleet;
use crate::script::{Action, Step, Target};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{JsonRequest, call_once, post_once};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How a run is to be done.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    pub scenario: String,
    pub seconds: u64,
    pub callers: usize,
    pub pause_ms: u64,
    pub seed: u64,
    /// Leave out the bounds that only a quiet machine can be held to (N12).
    pub untimed: bool,
}

#[derive(Debug, Default)]
pub struct ScenarioReport {
    pub violations: Vec<String>,
    pub summary: String,
    pub gaps: BTreeMap<String, u64>,
    pub committed: usize,
    pub attempts: usize,
    pub lookups: (u64, u64),
}

pub async fn operator_call(desk: &str, what: &str, body: &Value, ms: u64) -> Option<(u16, Value)> {
    let path = format!("/op/{what}");
    let c = JsonRequest { method: "POST", path: &path, body, token: Some(TOKEN) };
    call_once(desk, &c, Duration::from_millis(ms)).await.ok()
}

/// The fleet's status, from whichever node answers.
pub async fn fleet_status(desks: &[String]) -> Value {
    for d in desks {
        if let Some((200, v)) = operator_call(d, "status", &json!({}), 1_500).await {
            return v;
        }
    }
    Value::Null
}

async fn resolve_target(p: &FleetPlan, who: &Target, hit: &BTreeMap<&'static str, String>) -> Option<String> {
    let lead = |v: &Value, g: &str| {
        v["primaries"]
            .as_array()?
            .iter()
            .find(|l| l["group"] == g)
            .and_then(|l| l["server"].as_str().map(str::to_owned))
    };
    let member = |v: &Value, tail: bool| {
        let m = v["view"]["members"].as_array()?;
        (if tail { m.last() } else { m.first() })?.as_str().map(str::to_owned)
    };
    match who {
        Target::Name(n) => Some(n.clone()),
        Target::SameAs(l) => hit.get(l).cloned(),
        Target::Primary(g) => lead(&fleet_status(&p.operator_addresses()).await, g),
        Target::Replica(g) => {
            let l = lead(&fleet_status(&p.operator_addresses()).await, g);
            p.servers.iter().find(|s| s.group == *g && Some(&s.name) != l.as_ref()).map(|s| s.name.clone())
        }
        Target::Head => member(&fleet_status(&p.operator_addresses()).await, false),
        Target::Tail => member(&fleet_status(&p.operator_addresses()).await, true),
    }
}

pub async fn lab_call(servers: &[ServerAddress], server: &str, path: &str, body: &Value) -> Option<Value> {
    let addr = servers.iter().find(|s| s.name == server)?.addr.clone();
    post_once(&addr, path, body, Duration::from_secs(5)).await.ok().map(|(_, v)| v)
}

async fn perform(
    r: &mut RunningFleet,
    w: &Arc<LoadEnvironment>,
    s: &Step,
    hit: &mut BTreeMap<&'static str, String>,
) -> Option<String> {
    let name = resolve_target(&r.plan, &s.who, hit).await?;
    hit.insert(s.label, name.clone());
    match &s.act {
        Action::Kill => r.kill(&name),
        Action::Start => r.spawn(&name, true).ok()?,
        Action::Stop => {
            if !tokio::task::block_in_place(|| r.stop(&name, Duration::from_secs(12))) {
                w.history.lock().unwrap().violations.push(format!("{name} did not stop in order"));
            }
        }
        Action::Pause => r.signal(&name, "STOP"),
        Action::Continue => r.signal(&name, "CONT"),
        Action::Fault(wish) => {
            lab_call(&r.plan.servers, &name, "/lab/fault", &json!(wish)).await;
        }
        Action::Drain => {
            lab_call(&r.plan.servers, &name, "/lab/leave", &json!({})).await;
        }
        Action::StopDraining => {
            lab_call(&r.plan.servers, &name, "/lab/leave", &json!({"back": true})).await;
        }
        Action::ExtraCallers => {
            for _ in 0..150 {
                let id = w.extra_callers.fetch_add(1, Ordering::Relaxed);
                let c = Caller::new(w.clone(), 10_000 + id as usize, id);
                tokio::spawn(c.run_until(now() + 5_000, 60));
            }
        }
        Action::PushConfigurations => {
            let (p, w) = (r.plan.clone(), w.clone());
            let text = std::fs::read_to_string(&p.configuration).unwrap_or_default();
            tokio::spawn(async move { push_round(&p.operator_addresses(), &text, &w, now()).await });
        }
    }
    Some(name)
}

/// Runs the script; the fleet is up and ready when it begins.
pub async fn run_scenario(r: &mut RunningFleet, script: Vec<Step>, o: &ScenarioOptions) -> ScenarioReport {
    let w = Arc::new(LoadEnvironment {
        history: Default::default(),
        platform: r.plan.platform.clone(),
        groups: r.plan.shape.groups,
        zones: r.plan.shape.zones,
        zone_affinity: r.plan.shape.name == "lensbridge",
        pause_ms: o.pause_ms,
        lookup_ms: if r.plan.shape.name == "lensbridge" { 5_000 } else { 3_000 },
        orders_per_mille: 690,
        moves_per_mille: 20,
        stop: AtomicBool::new(false),
        sent_statements: Default::default(),
        calls: Default::default(),
        extra_callers: Default::default(),
    });
    let tasks: Vec<_> = (0..o.callers)
        .map(|i| tokio::spawn(Caller::new(w.clone(), i, o.seed).run_until(u64::MAX, o.pause_ms)))
        .collect();
    let began = now();
    let mut hit = BTreeMap::new();
    let mut faults = Vec::new();
    for s in &script {
        seam::sleep(Duration::from_millis((began + s.at).saturating_sub(now()))).await;
        let at = now();
        let name = perform(r, &w, s, &mut hit).await;
        let word = if s.is_final { "final" } else { "fault" };
        faults.push((at, format!("{word} {:?} {}", s.act, name.unwrap_or_else(|| "nobody".into()))));
    }
    seam::sleep(Duration::from_millis((began + o.seconds * 1_000).saturating_sub(now()))).await;
    w.stop.store(true, Ordering::SeqCst);
    let end = now();
    for t in tasks {
        let _ = seam::timeout(Duration::from_secs(10), t).await;
    }
    resolve_open_attempts(&w, o.seed).await;
    let got = collect_facts(&r.plan.operator_addresses(), &r.plan.servers).await;
    let got = got.map(|f| Facts { journals: read_journals(&r.plan), ..f });
    let sent = w.sent_statements.lock().unwrap().clone();
    let h = w.history.lock().unwrap();
    let first = faults.first().map_or(began, |f| f.0);
    let ends =
        |e: crate::history::CallEnd| h.attempts.values().filter(|t| t.ends.iter().any(|x| x.0 == e)).count();
    let looked = |well| {
        let of = h.served.iter().filter(|(k, _)| k.1 == "lookup").flat_map(|(_, v)| v);
        of.filter(|s| s.succeeded == well).count() as u64
    };
    let summary = format!(
        "{}: {} tries, {} kept, {} told nothing, {} unknown, {} lost, {} lookups, {} failed, {} late, longest gap {:?} ms",
        o.scenario,
        h.attempts.len(),
        ends(crate::history::CallEnd::Committed),
        ends(crate::history::CallEnd::NotApplied),
        ends(crate::history::CallEnd::Unknown),
        ends(crate::history::CallEnd::NoReply),
        looked(true),
        looked(false),
        h.late_replies,
        longest_gaps_after(&h, first)
    );
    let held: &[(u64, String)] = if o.untimed { &[] } else { &faults };
    let facts = got.as_ref().map_or_else(|_| Default::default(), Clone::clone);
    let mut breaches = check_history(&h, &facts, &sent, held, end);
    breaches.extend(got.err());
    if facts.lists.is_empty() || ends(crate::history::CallEnd::Committed) == 0 {
        breaches.push("nothing was kept at all: the run proves nothing".into());
    }
    ScenarioReport {
        violations: breaches,
        summary,
        gaps: longest_gaps_after(&h, first),
        committed: ends(crate::history::CallEnd::Committed),
        attempts: h.attempts.len(),
        lookups: (looked(true), looked(false)),
    }
}
