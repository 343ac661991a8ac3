//! `quincehatch-lab fleet up`: a fleet to try things on (§9.1).
use crate::args::Up;
use quincehatch_testbed::fleet::{FleetPlan, Shape, TOKEN, write_plan};
use quincehatch_testbed::running::RunningFleet;
use quincehatch_wire::http::{JsonRequest, call_once};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Starts the fleet and waits until every node is ready.
pub async fn start(u: &Up) -> Result<RunningFleet, String> {
    let shape = Shape::named(&u.shape, u.port).ok_or_else(|| format!("there is no shape {:?}", u.shape))?;
    let dir = std::path::absolute(&u.dir).map_err(|e| e.to_string())?;
    if dir.exists() {
        std::fs::remove_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    let p = write_plan(&dir, &shape).map_err(|e| e.to_string())?;
    let r = RunningFleet::start(p).map_err(|e| e.to_string())?;
    push(&r.plan, Duration::from_secs(60)).await?;
    ready(&r.plan, Duration::from_secs(60)).await?;
    Ok(r)
}

async fn push(p: &FleetPlan, within: Duration) -> Result<(), String> {
    let text = std::fs::read_to_string(&p.configuration).map_err(|e| e.to_string())?;
    let body = json!({"text": text, "key": "first", "base": 0, "by": "quincehatch-lab"});
    let until = Instant::now() + within;
    loop {
        let c = JsonRequest { method: "POST", path: "/op/push", body: &body, token: Some(TOKEN) };
        let got = call_once(&p.nodes[0].operator_listener, &c, Duration::from_secs(13)).await;
        match got {
            Ok((200, _)) => return Ok(()),
            _ if Instant::now() < until => tokio::time::sleep(Duration::from_millis(200)).await,
            got => return Err(format!("the blueprint could not be pushed: {got:?}")),
        }
    }
}

/// Every node ready with nothing reduced.
pub async fn ready(p: &FleetPlan, within: Duration) -> Result<(), String> {
    let until = Instant::now() + within;
    for n in &p.nodes {
        loop {
            let c = JsonRequest { method: "GET", path: "/ready", body: &Value::Null, token: None };
            let got = call_once(&n.client_listener, &c, Duration::from_secs(1)).await;
            let whole = got
                .as_ref()
                .is_ok_and(|(s, v)| *s == 200 && v["reduced"].as_array().is_some_and(Vec::is_empty));
            if whole {
                break;
            }
            if Instant::now() > until {
                return Err(format!("node {} did not get ready: {got:?}", n.name));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

pub async fn run(u: Up) -> Result<(), String> {
    let r = start(&u).await?;
    println!("the fleet is up; settings, logs and data are in {}", r.plan.dir.display());
    for n in &r.plan.nodes {
        println!(
            "node {} in {}: origins at http://{}, desk at {}",
            n.name, n.zone, n.client_listener, n.operator_listener
        );
    }
    println!("platform at {}", r.plan.platform);
    println!("try: quincehatchctl --node {} --token {TOKEN} status", r.plan.nodes[0].operator_listener);
    println!("stop with Ctrl-C");
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    tokio::select! { _ = tokio::signal::ctrl_c() => {}, _ = term.recv() => {} }
    drop(r);
    Ok(())
}

/// Runs one scenario or all, each on a fleet of its own; any breach fails.
pub async fn tried(u: Up, o: quincehatch_testbed::scenario::ScenarioOptions) -> Result<(), String> {
    use quincehatch_testbed::{scenario, script};
    let names: Vec<&str> =
        if o.scenario == "all" { script::SCENARIO_NAMES.to_vec() } else { vec![o.scenario.as_str()] };
    let mut bad = 0;
    for n in names {
        let steps = script::named(n).ok_or_else(|| {
            format!("there is no scenario {n:?}; there are {}", script::SCENARIO_NAMES.join(" "))
        })?;
        let mut r = start(&u).await?;
        let one = scenario::ScenarioOptions { scenario: n.into(), ..o.clone() };
        let out = scenario::run_scenario(&mut r, steps, &one).await;
        println!("{}", out.summary);
        for b in out.violations.iter().take(20) {
            println!("  BREACH {b}");
        }
        bad += out.violations.len();
        drop(r);
    }
    if bad == 0 { Ok(()) } else { Err(format!("{bad} breaches")) }
}
