//! Runs callers and a script of faults against a real fleet, then asks whether a must-never happened (§9.4).
use crate::aftermath::{collect_facts, read_journals, settle};
use crate::fleet::{FleetPlan, ServerAddress, TOKEN};
use crate::history::{Facts, check, longest_gaps_after};
use crate::load::{Caller, World};
use crate::pushing::pushes;
use crate::running::RunningFleet;
use crate::script::{Act, Step, Target};
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

async fn find(p: &FleetPlan, who: &Target, hit: &BTreeMap<&'static str, String>) -> Option<String> {
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
        Target::Same(l) => hit.get(l).cloned(),
        Target::Lead(g) => lead(&fleet_status(&p.operator_addresses()).await, g),
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

async fn act(
    r: &mut RunningFleet,
    w: &Arc<World>,
    s: &Step,
    hit: &mut BTreeMap<&'static str, String>,
) -> Option<String> {
    let name = find(&r.plan, &s.who, hit).await?;
    hit.insert(s.label, name.clone());
    match &s.act {
        Act::Kill => r.kill(&name),
        Act::Start => r.spawn(&name, true).ok()?,
        Act::Stop => {
            if !tokio::task::block_in_place(|| r.stop(&name, Duration::from_secs(12))) {
                w.book.lock().unwrap().violations.push(format!("{name} did not stop in order"));
            }
        }
        Act::Pause => r.signal(&name, "STOP"),
        Act::Go => r.signal(&name, "CONT"),
        Act::Fault(wish) => {
            lab_call(&r.plan.servers, &name, "/lab/fault", &json!(wish)).await;
        }
        Act::Leave => {
            lab_call(&r.plan.servers, &name, "/lab/leave", &json!({})).await;
        }
        Act::Back => {
            lab_call(&r.plan.servers, &name, "/lab/leave", &json!({"back": true})).await;
        }
        Act::ExtraCallers => {
            for _ in 0..150 {
                let id = w.more.fetch_add(1, Ordering::Relaxed);
                let c = Caller::new(w.clone(), 10_000 + id as usize, id);
                tokio::spawn(c.run(now() + 5_000, 60));
            }
        }
        Act::PushConfigurations => {
            let (p, w) = (r.plan.clone(), w.clone());
            let text = std::fs::read_to_string(&p.configuration).unwrap_or_default();
            tokio::spawn(async move { pushes(&p.operator_addresses(), &text, &w, now()).await });
        }
    }
    Some(name)
}

/// Runs the script; the fleet is up and ready when it begins.
pub async fn run_scenario(r: &mut RunningFleet, script: Vec<Step>, o: &ScenarioOptions) -> ScenarioReport {
    let w = Arc::new(World {
        book: Default::default(),
        platform: r.plan.platform.clone(),
        groups: r.plan.shape.groups,
        districts: r.plan.shape.zones,
        zone_affinity: r.plan.shape.name == "lensbridge",
        pause_ms: o.pause_ms,
        lookup_ms: if r.plan.shape.name == "lensbridge" { 5_000 } else { 3_000 },
        orders_per_mille: 690,
        moves_per_mille: 20,
        stop: AtomicBool::new(false),
        sent: Default::default(),
        calls: Default::default(),
        more: Default::default(),
    });
    let tasks: Vec<_> = (0..o.callers)
        .map(|i| tokio::spawn(Caller::new(w.clone(), i, o.seed).run(u64::MAX, o.pause_ms)))
        .collect();
    let began = now();
    let mut hit = BTreeMap::new();
    let mut faults = Vec::new();
    for s in &script {
        seam::sleep(Duration::from_millis((began + s.at).saturating_sub(now()))).await;
        let at = now();
        let name = act(r, &w, s, &mut hit).await;
        let word = if s.last { "final" } else { "fault" };
        faults.push((at, format!("{word} {:?} {}", s.act, name.unwrap_or_else(|| "nobody".into()))));
    }
    seam::sleep(Duration::from_millis((began + o.seconds * 1_000).saturating_sub(now()))).await;
    w.stop.store(true, Ordering::SeqCst);
    let end = now();
    for t in tasks {
        let _ = seam::timeout(Duration::from_secs(10), t).await;
    }
    settle(&w, o.seed).await;
    let got = collect_facts(&r.plan.operator_addresses(), &r.plan.servers).await;
    let got = got.map(|f| Facts { journals: read_journals(&r.plan), ..f });
    let sent = w.sent.lock().unwrap().clone();
    let h = w.book.lock().unwrap();
    let first = faults.first().map_or(began, |f| f.0);
    let ends = |e: crate::history::End| h.tries.values().filter(|t| t.ends.iter().any(|x| x.0 == e)).count();
    let looked = |well| {
        let of = h.served.iter().filter(|(k, _)| k.1 == "lookup").flat_map(|(_, v)| v);
        of.filter(|s| s.well == well).count() as u64
    };
    use crate::history::End::{Kept, Lost, Nothing, Unknown};
    let summary = format!(
        "{}: {} tries, {} kept, {} told nothing, {} unknown, {} lost, {} lookups, {} failed, {} late, longest gap {:?} ms",
        o.scenario,
        h.tries.len(),
        ends(Kept),
        ends(Nothing),
        ends(Unknown),
        ends(Lost),
        looked(true),
        looked(false),
        h.late,
        longest_gaps_after(&h, first)
    );
    let held: &[(u64, String)] = if o.untimed { &[] } else { &faults };
    let facts = got.as_ref().map_or_else(|_| Default::default(), Clone::clone);
    let mut breaches = check(&h, &facts, &sent, held, end);
    breaches.extend(got.err());
    if facts.lists.is_empty() || ends(Kept) == 0 {
        breaches.push("nothing was kept at all: the run proves nothing".into());
    }
    ScenarioReport {
        violations: breaches,
        summary,
        gaps: longest_gaps_after(&h, first),
        committed: ends(Kept),
        attempts: h.tries.len(),
        lookups: (looked(true), looked(false)),
    }
}
