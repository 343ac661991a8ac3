//! After a run on a real fleet: tries in doubt are settled, and the servers tell what they hold (§9.4).
use crate::fleet::{FleetPlan, ServerAddress};
use crate::history::Facts;
use crate::load::{Caller, World};
use crate::scenario::{fleet_status, lab_call};
use crate::stand_in::journal;
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Every try in doubt is asked after until it is settled, so that the check can be strict.
pub async fn settle(w: &Arc<World>, seed: u64) {
    let doubt: Vec<(String, usize)> = {
        let h = w.book.lock().unwrap();
        let last = |t: &crate::history::AttemptRecord| {
            t.ends.last().is_some_and(|e| e.0 != crate::history::End::Kept)
        };
        let open = h.tries.values().filter(|t| last(t) && !t.sealed);
        let id = |k: &str| k[1..].split('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        open.map(|t| (t.key.clone(), id(&t.key))).collect()
    };
    for (key, id) in doubt {
        let mut c = Caller::new(w.clone(), id, seed);
        for _ in 0..40 {
            let end = c.resolve_outcome(&key).await;
            let sealed = w.book.lock().unwrap().tries.get(&key).is_some_and(|t| t.sealed);
            if end == crate::history::End::Kept || sealed {
                break;
            }
            seam::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// What the servers hold, as the named lead tells it, how far the others agree, and what each of them did.
pub async fn collect_facts(desks: &[String], servers: &[ServerAddress]) -> Result<Facts, String> {
    let mut f = Facts::default();
    let leads = fleet_status(desks).await["primaries"].clone();
    for g in servers.iter().map(|s| s.group.clone()).collect::<BTreeSet<_>>() {
        let named = leads.as_array().into_iter().flatten().find(|l| l["group"] == g.as_str());
        let lead =
            named.and_then(|l| l["server"].as_str()).ok_or_else(|| format!("{g} has no lead at the end"))?;
        let mut of: Vec<&str> =
            servers.iter().filter(|s| s.group == g && s.name != lead).map(|s| s.name.as_str()).collect();
        of.insert(0, lead);
        for s in of {
            let got = lab_call(servers, s, "/lab/facts", &json!({})).await;
            let Some(v) = got.filter(|v| v["kv"].is_object()) else {
                // A server that is down tells nothing; the lead must.
                if s == lead {
                    return Err(format!("the lead {lead} of {g} cannot be read at the end"));
                }
                continue;
            };
            let texts = |v: &Value| -> Vec<String> {
                v.as_array().into_iter().flatten().filter_map(|x| x.as_str().map(str::to_owned)).collect()
            };
            f.logs.entry(g.clone()).or_default().push((s.to_owned(), texts(&v["log"])));
            let kv = v["kv"].as_object().filter(|_| s == lead);
            for (k, v) in kv.into_iter().flatten().filter(|(k, _)| k.starts_with("orders/")) {
                f.lists.insert((g.clone(), k.clone()), texts(v));
            }
        }
    }
    Ok(f)
}

/// What each stand-in of a fleet did, from the files beside its data.
pub fn read_journals(p: &FleetPlan) -> BTreeMap<String, Vec<journal::Entry>> {
    let path = |s: &ServerAddress| p.dir.join("servers").join(format!("{}.journal", s.name));
    p.servers.iter().map(|s| (s.name.clone(), journal::read(&path(s)))).collect()
}
