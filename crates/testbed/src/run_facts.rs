//! Resolves open orders after a run and collects the data of the servers.
use crate::caller::Caller;
use crate::fleet::{FleetPlan, ServerAddress};
use crate::fleet_calls::{fleet_status, lab_call, primary_of};
use crate::history::{AttemptRecord, CallEnd, Facts};
use crate::load_environment::LoadEnvironment;
use crate::stand_in::journal::{JournalEntry, read_journal};
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Number of outcome queries for an open order, and the pause between them.
const RESOLUTIONS: usize = 40;
const RESOLUTION_PAUSE: Duration = Duration::from_millis(200);

/// Returns the number of the caller whose order has this key (`c<number>-<order>`).
fn caller_of(key: &str) -> usize {
    key[1..].split('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn is_open(attempt: &AttemptRecord) -> bool {
    let last = attempt.ends.last();
    !attempt.sealed && last.is_some_and(|(end, _, _)| *end != CallEnd::Committed)
}

/// Queries the outcome of every open order until it is committed or sealed, so that the check can be strict.
pub async fn resolve_open_attempts(env: &Arc<LoadEnvironment>, seed: u64) {
    let open: Vec<String> = {
        let history = env.history.lock().unwrap();
        let open = history.attempts.values().filter(|attempt| is_open(attempt));
        open.map(|attempt| attempt.key.clone()).collect()
    };
    for key in open {
        let mut caller = Caller::new(env.clone(), caller_of(&key), seed);
        for _ in 0..RESOLUTIONS {
            let end = caller.resolve_outcome(&key).await;
            let sealed = env.history.lock().unwrap().attempts.get(&key).is_some_and(|known| known.sealed);
            if end == CallEnd::Committed || sealed {
                break;
            }
            seam::sleep(RESOLUTION_PAUSE).await;
        }
    }
}

fn texts(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect()
}

/// Collects the lists of each group's primary, and the logs of all servers that answer.
pub async fn collect_facts(operators: &[String], servers: &[ServerAddress]) -> Result<Facts, String> {
    let mut facts = Facts::default();
    let status = fleet_status(operators).await;
    let groups: BTreeSet<&str> = servers.iter().map(|server| server.group.as_str()).collect();
    for group in groups {
        let primary =
            primary_of(&status, group).ok_or_else(|| format!("{group} has no primary at the end"))?;
        collect_group(&mut facts, servers, group, &primary).await?;
    }
    Ok(facts)
}

async fn collect_group(
    facts: &mut Facts,
    servers: &[ServerAddress],
    group: &str,
    primary: &str,
) -> Result<(), String> {
    let members = servers.iter().filter(|server| server.group == group);
    let others = members.map(|server| server.name.as_str()).filter(|name| *name != primary);
    for name in std::iter::once(primary).chain(others) {
        let answer = lab_call(servers, name, "/lab/facts", &json!({})).await;
        let Some(data) = answer.filter(|data| data["kv"].is_object()) else {
            // Other servers may be down; the primary must answer.
            if name == primary {
                return Err(format!("the primary {primary} of {group} cannot be read at the end"));
            }
            continue;
        };
        facts.logs.entry(group.to_owned()).or_default().push((name.to_owned(), texts(&data["log"])));
        let values = data["kv"].as_object().filter(|_| name == primary);
        for (key, value) in values.into_iter().flatten().filter(|(key, _)| key.starts_with("orders/")) {
            facts.lists.insert((group.to_owned(), key.clone()), texts(value));
        }
    }
    Ok(())
}

/// Reads the journal of each stand-in of a fleet from the files next to its data.
pub fn read_journals(plan: &FleetPlan) -> BTreeMap<String, Vec<JournalEntry>> {
    let folder = plan.dir.join("servers");
    let journal = |server: &ServerAddress| {
        let path = folder.join(format!("{}.journal", server.name));
        (server.name.clone(), read_journal(&path))
    };
    plan.servers.iter().map(journal).collect()
}
