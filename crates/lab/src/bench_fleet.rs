//! Measurements of a whole fleet under faults (§9.5).
use crate::args::Up;
use crate::bench::spread;
use crate::up;
use quincehatch_testbed::scenario::{self, ScenarioOptions, operator_call};
use quincehatch_testbed::script;
use serde_json::{Value, json};
use std::time::Duration;

async fn lookups(door: &str, text: &str, n: usize, gap: u64) -> (usize, usize) {
    let tasks: Vec<_> = (0..n)
        .map(|i| {
            let (door, text) = (door.to_owned(), text.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(i as u64 * gap)).await;
                let b = json!({"text": text, "labels": {"db": "g1"}});
                let got =
                    quincehatch_wire::http::post_once(&door, "/v1/lookup", &b, Duration::from_secs(9)).await;
                got.is_ok_and(|(s, _)| s == 200)
            })
        })
        .collect();
    let mut good = 0;
    for t in tasks {
        good += usize::from(t.await.unwrap_or(false));
    }
    (good, n - good)
}

async fn asides(desk: &str) -> u64 {
    let got = operator_call(desk, "servers", &json!({}), 2_000).await;
    let rows = got.map_or(Value::Null, |g| g.1["servers"].clone());
    rows.as_array().into_iter().flatten().filter_map(|r| r["ejections"].as_u64()).sum()
}

/// Long queries beside short ones, by a rule that is not `long`: how many replicas are set aside wrongly?
pub async fn long(u: &Up, rounds: usize) -> Result<(), String> {
    for (name, every) in [("one long in twenty", 20), ("one long in five", 5)] {
        let mut figures = Vec::new();
        for _ in 0..rounds {
            let r = up::start(u).await?;
            let door = r.plan.nodes[0].client_listener.clone();
            let n = 400;
            let long = lookups(&door, "sleep 4000", n / every, 25 * every as u64);
            let short = lookups(&door, "get x", n, 25);
            let ((_, cut), (good, bad)) = tokio::join!(long, short);
            let a = asides(&r.plan.nodes[0].operator_listener).await;
            println!(
                "  {name}: {cut} long past their timeout, {good} short answered, {bad} not, {a} set aside"
            );
            figures.push(a as f64);
        }
        spread(&format!("wrong set-asides, {name}"), "", figures);
    }
    Ok(())
}

/// Every replica stalls at once: how many lookups are lost until the primary has taken them?
pub async fn all_bad(u: &Up, rounds: usize) -> Result<(), String> {
    let mut figures = Vec::new();
    for _ in 0..rounds {
        let r = up::start(u).await?;
        let st = operator_call(&r.plan.nodes[0].operator_listener, "status", &json!({}), 2_000)
            .await
            .map(|x| x.1)
            .unwrap_or(Value::Null);
        let lead = st["primaries"][0]["server"].as_str().unwrap_or_default().to_owned();
        for s in r.plan.servers.iter().filter(|s| s.name != lead) {
            let w = json!({"stall": true});
            let _ =
                quincehatch_wire::http::post_once(&s.addr, "/lab/fault", &w, Duration::from_secs(1)).await;
        }
        let (good, bad) = lookups(&r.plan.nodes[0].client_listener, "get x", 400, 25).await;
        println!("  {good} answered, {bad} not");
        figures.push(bad as f64 / 4.0);
    }
    spread("lookups lost in 10 s of all replicas stalled", "%", figures);
    Ok(())
}

/// Service under each final breakdown: the longest time without a kept order in the group that was hit.
pub async fn faults(u: &Up, rounds: usize) -> Result<(), String> {
    for s in [
        "lead-killed",
        "lead-paused",
        "lead-stalled",
        "lead-in-a-hole",
        "lead-leaves",
        "tail-killed",
        "node-killed",
    ] {
        let (mut gaps, mut late) = (Vec::new(), Vec::new());
        for i in 0..rounds {
            let mut r = up::start(u).await?;
            let o = ScenarioOptions {
                scenario: s.into(),
                seconds: 16,
                callers: 60,
                pause_ms: 300,
                seed: 7 + i as u64,
                untimed: false,
            };
            let out = scenario::run_scenario(&mut r, script::named(s).unwrap_or_default(), &o).await;
            out.violations.iter().for_each(|b| println!("  BREACH {b}"));
            gaps.push(out.gaps.get("g1").copied().unwrap_or(0) as f64);
            late.push(100.0 * out.committed as f64 / out.attempts.max(1) as f64);
        }
        spread(&format!("{s}: longest gap without a kept order"), "ms", gaps);
        spread(&format!("{s}: tries that were kept"), "%", late);
    }
    Ok(())
}
