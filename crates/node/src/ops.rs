//! Operators' calls at a node's desk, answered for the whole fleet (§8.2).
use crate::{ClusterNode, report};
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_runtime::seam;
use quincehatch_store::{Answer, Command, FeedState, Reply, Request, Voter};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

const PUSH: Duration = Duration::from_secs(12);
const READ: Duration = Duration::from_secs(2);

pub async fn answer(f: &Arc<ClusterNode>, what: &str, b: &Value) -> Result<Value, Error> {
    let txt = |k: &str| b.get(k).and_then(Value::as_str).unwrap_or_default().to_owned();
    match what {
        "status" => Ok(status(f).await),
        "nodes" => Ok(report_from_all_nodes(f, "node", "").await),
        "servers" => Ok(json!({"node": f.proxy.settings.name, "servers": report::of(f, "servers", "")})),
        "placements" => placements(f),
        "push" => push(f, &txt("text"), b).await,
        "history" => history(f).await,
        "rollback" => rollback(f, b).await,
        "explain" => {
            let (kind, key) =
                [("server", txt("server")), ("visit", txt("visit")), ("promotions", txt("promotions"))]
                    .into_iter()
                    .find(|(_, v)| !v.is_empty())
                    .ok_or_else(|| {
                        ErrorCode::Malformed.with_detail("explain takes server, visit or promotions")
                    })?;
            Ok(report_from_all_nodes(f, kind, &key).await)
        }
        "promote" => {
            let g: Name = txt("group").into();
            if f.proxy.registry.primary(&g).is_none() {
                return Err(ErrorCode::NoSuchServer.with_detail(format_args!("no group is called {g:?}")));
            }
            let to = Some(Name::from(txt("to"))).filter(|t| !t.is_empty());
            let ask = to.as_ref().map_or_else(String::new, |t| t.to_string());
            let key = format!("{g}={ask}").into();
            let live: Vec<Name> = f.gossip.live_nodes().into_iter().map(|member| member.name).collect();
            let owner = quincehatch_gossip::ownership::owner(
                &quincehatch_store::store::promotion_duty_key(&g),
                &live,
            )
            .cloned();
            let owner = owner.ok_or_else(|| ErrorCode::NoMajority.without_detail())?;
            f.gossip.query(&owner, NodeQuery::Report { what: "ask-promote".into(), key }).await?;
            Ok(json!({"asked": owner, "group": g}))
        }
        "drain" => {
            let key = if b.get("undo").is_some() { "off" } else { "on" };
            let ask = NodeQuery::Report { what: "drain".into(), key: key.into() };
            match f.gossip.query(&txt("name"), ask).await? {
                NodeReply::Report { json } => Ok(json!({"node": txt("name"),
                    "answer": serde_json::from_str::<Value>(&json).unwrap_or(Value::Null)})),
                _ => Err(ErrorCode::Unreachable.without_detail()),
            }
        }
        "members" => members(f, b).await,
        _ => Err(ErrorCode::NoSuchCall.without_detail()),
    }
}

/// Every node's account, side by side; one that does not answer is listed as silent.
async fn report_from_all_nodes(f: &Arc<ClusterNode>, what: &str, key: &str) -> Value {
    let mut names: Vec<Name> =
        f.gossip.membership.lock().unwrap().member_records().into_iter().map(|r| r.name).collect();
    names.push(f.gossip.local_name.clone());
    let got = f.gossip.query_all(names, NodeQuery::Report { what: what.into(), key: key.into() }).await;
    let rows = got.into_iter().map(|(n, r)| match r {
        Some(NodeReply::Report { json }) => {
            let v: Value = serde_json::from_str(&json).unwrap_or(Value::Null);
            json!({"node": n, "answer": v})
        }
        _ => json!({"node": n, "silent": true}),
    });
    json!({"nodes": rows.collect::<Vec<_>>()})
}

async fn status(f: &Arc<ClusterNode>) -> Value {
    let keepers: Vec<Value> = f
        .store_client
        .keeper_statuses()
        .await
        .into_iter()
        .map(|(name, addr, st)| {
            st.map_or_else(
                || json!({"name": name, "addr": addr, "silent": true}),
                |s| {
                    json!({"name": name, "addr": addr, "why": s.reason, "view": s.view.version, "n": s.last_change,
                    "committed": s.committed, "in_force": s.in_force, "leases": s.leases.len(),
                    "disk": s.disk, "log": s.log})
                },
            )
        })
        .collect();
    let v = f.store_client.view();
    let plan = f.proxy.registry.cluster_state();
    let leads: Vec<Value> = plan
        .primaries
        .iter()
        .map(|(g, l)| json!({"group": g, "server": l.server, "fence": l.fence, "by": l.assigned_by}))
        .collect();
    let nodes = report_from_all_nodes(f, "node", "").await;
    json!({"version": plan.version, "change": plan.number, "view": v, "keepers": keepers, "leads": leads,
        "nodes": nodes["nodes"]})
}

fn placements(f: &ClusterNode) -> Result<Value, Error> {
    let plan = f.proxy.registry.cluster_state();
    let bp = plan.configuration.clone().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
    let of = |p: &quincehatch_config::configuration::Placement| -> Vec<Name> {
        f.proxy.registry.servers_in_placement(&bp, p).iter().map(|r| r.name.clone()).collect()
    };
    let rows: Vec<Value> = bp
        .placements
        .iter()
        .map(|p| {
            let rules: Vec<&str> = bp.routes.iter().filter(|r| r.placement == p.name).map(|r| r.name.as_str()).collect();
            json!({"placement": p.name, "select": p.select, "except": p.except, "servers": of(p), "rules": rules})
        })
        .collect();
    // Where districts are listed, one that is not has no labels there: its servers and nodes may be missed.
    let mut here: std::collections::BTreeSet<Name> =
        f.proxy.registry.servers().iter().map(|r| r.zone()).collect();
    here.extend(f.gossip.membership.lock().unwrap().member_records().into_iter().map(|r| r.zone));
    here.insert(f.proxy.settings.zone.as_str().into());
    let unknown: Vec<Name> =
        here.into_iter().filter(|d| !bp.zones.is_empty() && bp.zone(d).is_none()).collect();
    Ok(
        json!({"version": plan.version, "placements": rows, "districts": bp.zones, "unknown_districts": unknown}),
    )
}

/// Lines of the blueprint in force that go, and of the new one that come.
fn diff(old: &str, new: &str) -> Vec<String> {
    let lines = |t: &str| -> Vec<String> {
        let v: Value = serde_json::from_str(t).unwrap_or(Value::Null);
        let mut out = Vec::new();
        flat("", &v, &mut out);
        out
    };
    let (a, b) = (lines(old), lines(new));
    let gone = a.iter().filter(|l| !b.contains(l)).map(|l| format!("- {l}"));
    let come = b.iter().filter(|l| !a.contains(l)).map(|l| format!("+ {l}"));
    gone.chain(come).collect()
}

fn flat(at: &str, v: &Value, out: &mut Vec<String>) {
    match v {
        Value::Object(m) => m.iter().for_each(|(k, v)| flat(&format!("{at}.{k}"), v, out)),
        Value::Array(a) if a.iter().any(Value::is_object) => a.iter().enumerate().for_each(|(i, v)| {
            let name = v.get("name").and_then(Value::as_str).map_or_else(|| i.to_string(), str::to_owned);
            flat(&format!("{at}[{name}]"), v, out);
        }),
        v => out.push(format!("{} = {v}", at.trim_start_matches('.'))),
    }
}

async fn push(f: &ClusterNode, text: &str, b: &Value) -> Result<Value, Error> {
    let bp = match f
        .proxy
        .registry
        .cluster_state()
        .configuration
        .clone()
        .filter(|_| seam::injected_bug("taken-invalid"))
    {
        Some(old) => Configuration::parse(text).unwrap_or_else(|_| old.as_ref().clone()),
        None => Configuration::parse(text)?,
    };
    let json = bp.to_stored_json();
    let FeedState { configuration_version: version, configuration_json: old, .. } =
        f.feed_state.lock().unwrap().clone();
    let diff = diff(&old, &json);
    let empty: Vec<&str> = bp
        .placements
        .iter()
        .filter(|p| f.proxy.registry.servers_in_placement(&bp, p).is_empty())
        .map(|p| p.name.as_str())
        .collect();
    if b.get("dry_run").and_then(Value::as_bool) == Some(true) {
        return Ok(json!({"valid": true, "builds_on": version, "diff": diff, "no_server_yet": empty}));
    }
    let base = b.get("base").and_then(Value::as_u64).unwrap_or(version);
    let key = b.get("key").and_then(Value::as_str).filter(|k| !k.is_empty() && k.len() <= 128);
    let key = key.ok_or_else(|| ErrorCode::Malformed.with_detail("a push needs a key of 1 to 128 bytes"))?;
    let by = b.get("by").and_then(Value::as_str).unwrap_or("operator").into();
    let cmd = Command::PushConfiguration { base, text: json, by };
    match f.store_client.write(&format!("push/{key}"), cmd, PUSH).await? {
        Answer::Version(e) => Ok(json!({"version": e, "diff": diff, "no_server_yet": empty})),
        _ => Err(ErrorCode::ChainUnavailable.with_detail("an answer that is none")),
    }
}

async fn history(f: &ClusterNode) -> Result<Value, Error> {
    let s = f.store_client.read_store(READ).await?;
    let rows: Vec<Value> = s
        .history
        .iter()
        .map(|k| {
            json!({"version": k.version, "by": k.author, "bytes": k.text.len(),
            "blueprint": serde_json::from_str::<Value>(&k.text).unwrap_or(Value::Null)})
        })
        .collect();
    Ok(json!({"history": rows}))
}

/// A new version with an old one's content.
async fn rollback(f: &ClusterNode, b: &Value) -> Result<Value, Error> {
    let want = b.get("version").and_then(Value::as_u64).unwrap_or(0);
    let had = f.store_client.read_store(READ).await?;
    let kept = had.history_entry(want).ok_or_else(|| ErrorCode::NoSuchVersion.with_detail(want))?;
    push(f, &kept.text, b).await
}

/// The disk machines; with a change, one comes or goes (§5.3).
async fn members(f: &ClusterNode, b: &Value) -> Result<Value, Error> {
    let any = f.store_client.next_keeper();
    f.store_client.refresh_view_from(&any).await;
    let v = f.store_client.view();
    let add = b.get("add").and_then(Value::as_str).and_then(|a| a.split_once('='));
    let gone = b.get("remove").and_then(Value::as_str);
    let mut machines = v.voters.clone();
    if let Some((n, a)) = add {
        a.parse::<std::net::SocketAddr>()
            .map_err(|_| ErrorCode::Malformed.with_detail("add takes name=ip:port"))?;
        machines.push(Voter { name: n.into(), addr: a.into() });
    }
    if let Some(n) = gone {
        machines.retain(|m| m.name != n);
    }
    if machines == v.voters {
        return Ok(json!({"view": v}));
    }
    // A machine that does not answer would count towards the majorities and hold the chain up.
    if let Some((n, a)) = add {
        let st = f.store_client.call(a, Request::Status, Duration::from_millis(700)).await;
        if !matches!(&st, Ok(Reply::Status { status }) if status.name == n) {
            let why = format!("no keeper {n} answers at {a}; start it with --join first");
            return Err(ErrorCode::MembershipChangeRejected.with_detail(why));
        }
    }
    for _ in 0..12 {
        let ask = Request::ChangeVoters { version: v.version, voters: machines.clone() };
        if let Ok(Reply::Rejected { error: why }) =
            f.store_client.call(&f.store_client.head_address(), ask, Duration::from_secs(1)).await
            && !why.has_code(ErrorCode::MembershipChangeRejected)
        {
            return Err(why);
        }
        seam::sleep(Duration::from_millis(400)).await;
        f.store_client.refresh_view_from(&f.store_client.head_address()).await;
        let now = f.store_client.view();
        if now.voters == machines {
            return Ok(json!({"view": now}));
        }
        if now.version != v.version {
            return Err(
                ErrorCode::MembershipChangeRejected.with_detail("the view changed meanwhile; ask again")
            );
        }
    }
    Err(ErrorCode::MembershipChangeRejected
        .with_detail("the view did not change in time; look at `quincehatchctl members`")
        .with_unknown_outcome())
}
