//! After a run on a real fleet: tries in doubt are settled, and the servers tell what they hold (§9.4).
use crate::fleet::Plan;
use crate::history::Facts;
use crate::load::{Caller, World};
use crate::scenario::{Opts, lab};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Every try in doubt is asked after until it is settled, so that the check can be strict.
pub(crate) async fn settle(w: &Arc<World>, o: &Opts) {
    let doubt: Vec<(String, usize)> = {
        let h = w.book.lock().unwrap();
        let last =
            |t: &crate::history::TryRow| t.ends.last().is_some_and(|e| e.0 != crate::history::End::Kept);
        let open = h.tries.values().filter(|t| last(t) && !t.sealed);
        let id = |k: &str| k[1..].split('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        open.map(|t| (t.key.clone(), id(&t.key))).collect()
    };
    for (key, id) in doubt {
        let mut c = Caller::new(w.clone(), id, o.seed);
        for _ in 0..40 {
            let end = c.ask_after(&key).await;
            let sealed = w.book.lock().unwrap().tries.get(&key).is_some_and(|t| t.sealed);
            if end == crate::history::End::Kept || sealed {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// What the servers hold: from whoever of a group has the most visible, and from each what it ran.
pub(crate) async fn facts(p: &Plan) -> Facts {
    let mut f = Facts::default();
    let mut best: BTreeMap<String, (u64, Value)> = BTreeMap::new();
    for s in &p.servers {
        let Some(v) = lab(p, &s.name, "/lab/facts", &json!({})).await else { continue };
        f.late_work += v["late_work"].as_u64().unwrap_or(0);
        let c = v["commit"].as_u64().unwrap_or(0);
        let lead = v["role"] == "Primary";
        let e = best.entry(s.group.clone()).or_default();
        if c > e.0 || (c == e.0 && lead) {
            *e = (c, v["kv"].clone());
        }
        let ran = lab(p, &s.name, "/lab/journal", &json!({})).await.unwrap_or(Value::Null);
        for row in ran.as_array().into_iter().flatten() {
            let mark = row["params"][1].as_str().unwrap_or_default().to_owned();
            let text = row["text"].as_str().unwrap_or_default().to_owned();
            f.ran.push((s.name.clone(), row["txn"].as_u64().unwrap_or(0), text, mark));
        }
    }
    for (g, (_, kv)) in best {
        for (k, v) in kv.as_object().into_iter().flatten().filter(|(k, _)| k.starts_with("orders/")) {
            let keys =
                v.as_array().into_iter().flatten().filter_map(|x| x.as_str().map(str::to_owned)).collect();
            f.lists.insert((g.clone(), k.clone()), keys);
        }
    }
    f
}
