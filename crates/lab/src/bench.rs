//! `quincehatch-lab bench` (§9.5): ratios, counts and pairs in turn; results go to docs/measurements.md by hand.
use crate::args::Up;
use crate::up;
use quincehatch_runtime::now;
use quincehatch_testbed::running::RunningFleet;
use quincehatch_testbed::scenario::operator_call;
use quincehatch_wire::http::{HttpConnection, JsonRequest};
use serde_json::{Value, json};
use std::time::Duration;

/// Median and spread of some figures.
pub fn spread(name: &str, unit: &str, mut v: Vec<f64>) {
    v.sort_by(f64::total_cmp);
    let Some((lo, hi)) = v.first().copied().zip(v.last().copied()) else {
        println!("{name}: no figure");
        return;
    };
    println!("{name}: median {:.2} {unit}, {lo:.2} to {hi:.2}, {} runs", v[v.len() / 2], v.len());
}

pub async fn run(u: Up, what: &str, rounds: usize) -> Result<(), String> {
    match what {
        "front" => front(&u, rounds).await,
        "judges" => judges(&u, rounds).await,
        "push" => push(&u, rounds).await,
        "mesh" => mesh(&u).await,
        "long" => crate::bench_fleet::long(&u, rounds).await,
        "all-bad" => crate::bench_fleet::all_bad(&u, rounds).await,
        "faults" => crate::bench_fleet::faults(&u, rounds).await,
        w => Err(format!(
            "there is no measurement {w:?}; there are front judges push mesh long all-bad faults"
        )),
    }
}

async fn post(w: &mut HttpConnection, path: &str, body: &Value) -> Result<Value, String> {
    let c = JsonRequest { method: "POST", path, body, token: None };
    w.call(&c).await.map(|r| r.1).map_err(|e| e.to_string())
}

fn lead_of(v: &Value) -> Option<String> {
    v["leads"][0]["server"].as_str().map(str::to_owned)
}

/// The cost of the front: the same order and lookup straight to the stand-in and through a node, in turn.
async fn front(u: &Up, rounds: usize) -> Result<(), String> {
    let r = up::start(u).await?;
    let st = operator_call(&r.plan.nodes[0].operator_listener, "status", &json!({}), 2_000)
        .await
        .map(|x| x.1)
        .unwrap_or(Value::Null);
    let lead = lead_of(&st).ok_or("no lead")?;
    let at =
        |n: &str| r.plan.servers.iter().find(|s| s.name == n).map(|s| s.addr.clone()).unwrap_or_default();
    let open = |a: String| async move { HttpConnection::open(&a, None).await.map_err(|e| e.to_string()) };
    let (mut direct, mut node) =
        (open(at(&lead)).await?, open(r.plan.nodes[0].client_listener.clone()).await?);
    let mut n = 0;
    let (mut orders, mut looks) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let mut took = [[0.0; 2]; 2];
        for (i, slot) in took.iter_mut().enumerate() {
            for (side, ms) in slot.iter_mut().enumerate() {
                let began = std::time::Instant::now();
                for _ in 0..200 {
                    n += 1;
                    let key = format!("b{n}");
                    let v = match (i, side) {
                        (0, 0) => {
                            let b = json!({"link": "b", "text": "put x $1", "params": [n], "try": key, "sum": 1, "fence": 1});
                            post(&mut direct, "/v1/run", &b).await?
                        }
                        (0, _) => {
                            let b = json!({"try": key, "text": "put x $1", "params": [n], "labels": {"db": "g1"}});
                            post(&mut node, "/v1/order", &b).await?
                        }
                        (_, 0) => {
                            post(&mut direct, "/v1/run", &json!({"link": "b", "text": "get x"})).await?
                        }
                        _ => {
                            post(&mut node, "/v1/lookup", &json!({"text": "get x", "labels": {"db": "g1"}}))
                                .await?
                        }
                    };
                    if v["rows"].is_null() {
                        return Err(format!("no rows: {v}"));
                    }
                }
                *ms = began.elapsed().as_secs_f64() * 5.0;
            }
        }
        orders.push(took[0][1] / took[0][0]);
        looks.push(took[1][1] / took[1][0]);
    }
    spread("order through a node / straight", "times", orders);
    spread("lookup through a node / straight", "times", looks);
    Ok(())
}

async fn verdict(r: &RunningFleet, node: usize, server: &str) -> Option<String> {
    let (_, v) = operator_call(&r.plan.nodes[node].operator_listener, "servers", &json!({}), 1_000).await?;
    let row = v["servers"].as_array()?.iter().find(|s| s["server"] == server)?.clone();
    row["verdict"].as_str().map(str::to_owned)
}

/// From a fault to out of rotation, at one node, with a lookup about each 25 ms.
async fn judges(u: &Up, rounds: usize) -> Result<(), String> {
    for (name, wish, long_pm) in [
        ("reset", json!({"reset": true}), 0),
        ("stall (rule timeout 3000 ms)", json!({"stall": true}), 0),
        ("stall amid one long query in five", json!({"stall": true}), 200),
        ("hole (rule timeout 3000 ms)", json!({"hole": true}), 0),
    ] {
        let mut figures = Vec::new();
        for _ in 0..rounds {
            let r = up::start(u).await?;
            let st = operator_call(&r.plan.nodes[0].operator_listener, "status", &json!({}), 2_000)
                .await
                .map(|x| x.1)
                .unwrap_or(Value::Null);
            let lead = lead_of(&st);
            let victim = r
                .plan
                .servers
                .iter()
                .rev()
                .find(|s| Some(&s.name) != lead.as_ref())
                .ok_or("no replica")?
                .clone();
            let door = r.plan.nodes[0].client_listener.clone();
            let load = tokio::spawn(async move {
                loop {
                    let door = door.clone();
                    tokio::spawn(async move {
                        let text = if fastrand::u64(..1_000) < long_pm { "sleep 4000" } else { "get x" };
                        let b = json!({"text": text, "labels": {"db": "g1"}});
                        let _ = quincehatch_wire::http::post_once(
                            &door,
                            "/v1/lookup",
                            &b,
                            Duration::from_secs(4),
                        )
                        .await;
                    });
                    tokio::time::sleep(Duration::from_millis(25)).await;
                }
            });
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            let began = now();
            let _ =
                quincehatch_wire::http::post_once(&victim.addr, "/lab/fault", &wish, Duration::from_secs(1))
                    .await;
            while verdict(&r, 0, &victim.name).await.as_deref() != Some("set-aside") && now() < began + 40_000
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            figures.push((now() - began) as f64);
            load.abort();
        }
        spread(&format!("{name} to set aside"), "ms", figures);
    }
    Ok(())
}

/// A push until it is acknowledged, over the number of nodes.
async fn push(u: &Up, rounds: usize) -> Result<(), String> {
    for nodes in [3, 6, 12] {
        let r = up::start(&Up { shape: format!("nodes:{nodes}"), ..u.clone() }).await?;
        let text = std::fs::read_to_string(&r.plan.configuration).map_err(|e| e.to_string())?;
        let mut figures = Vec::new();
        for i in 0..rounds {
            let body = json!({"text": quincehatch_testbed::script::with_mark(&text, i as u64), "key": format!("b{i}")});
            let began = now();
            let got = operator_call(&r.plan.nodes[i % nodes].operator_listener, "push", &body, 14_000).await;
            got.filter(|g| g.0 == 200).ok_or("a push was declined")?;
            figures.push((now() - began) as f64);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        spread(&format!("push acknowledged, so in force, {nodes} nodes"), "ms", figures);
    }
    Ok(())
}

/// Letters a node sends in a second as the nodes double.
async fn mesh(u: &Up) -> Result<(), String> {
    for nodes in [3, 6, 12, 24] {
        let r = up::start(&Up { shape: format!("nodes:{nodes}"), ..u.clone() }).await?;
        let letters = || async {
            let (_, v) =
                operator_call(&r.plan.nodes[0].operator_listener, "nodes", &json!({}), 3_000).await?;
            let rows = v["nodes"].as_array()?.clone();
            let sum: u64 = rows.iter().filter_map(|n| n["answer"]["letters"].as_u64()).sum();
            Some((sum, rows.len()))
        };
        tokio::time::sleep(Duration::from_secs(3)).await;
        let began = now();
        let (a, _) = letters().await.ok_or("no answer")?;
        tokio::time::sleep(Duration::from_secs(10)).await;
        let (b, n) = letters().await.ok_or("no answer")?;
        let per = (b - a) as f64 / n as f64 / ((now() - began) as f64 / 1_000.0);
        println!("mesh of {n} nodes: {per:.1} letters a node and second");
    }
    Ok(())
}
