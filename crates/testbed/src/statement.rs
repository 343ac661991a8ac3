//! The stand-ins' little statement language: put, append, add, get, len, echo, sleep, show, exec (§3.5).
use crate::database::{Write, apply_write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// One link's context.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState {
    pub settings: BTreeMap<String, String>,
    pub prepared: BTreeMap<String, String>,
    pub transaction: Option<OpenTransaction>,
}

#[derive(Clone, Debug, Default)]
pub struct OpenTransaction {
    pub id: u64,
    pub writes: Vec<Write>,
    pub last_rows: Value,
}

/// What running a statement asks of its caller.
#[derive(Debug, PartialEq)]
pub struct StatementResult {
    pub rows: Value,
    pub writes: Vec<Write>,
    pub sleep_ms: u64,
}

fn argument(word: &str, params: &Value) -> Result<Value, String> {
    match word.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
        Some(n) => params.get(n.wrapping_sub(1)).cloned().ok_or_else(|| format!("there is no parameter {n}")),
        None => Ok(word.parse::<i64>().map_or_else(|_| Value::from(word), Value::from)),
    }
}

fn as_text(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_owned)
}

/// Sets `name=value`.
pub fn set_setting(c: &mut ConnectionState, t: &str) -> Result<(), String> {
    let (k, v) = t.split_once('=').ok_or("a setting is name=value")?;
    c.settings.insert(k.trim().into(), v.trim().into());
    Ok(())
}

/// Runs one statement against `kv` as seen through the link's open transaction.
pub fn run_statement(
    c: &ConnectionState,
    kv: &BTreeMap<String, Value>,
    t: &str,
    params: &Value,
) -> Result<StatementResult, String> {
    let words: Vec<&str> = t.split_whitespace().collect();
    let ran = |rows, writes| Ok(StatementResult { rows, writes, sleep_ms: 0 });
    let a = |i: usize| words.get(i).map_or(Err("a word is missing".into()), |w| argument(w, params));
    let key = |i: usize| a(i).map(|v| as_text(&v));
    let mine = || c.transaction.iter().flat_map(|t| t.writes.iter().cloned());
    let seen = |k: &str| {
        let mut one: BTreeMap<String, Value> =
            kv.get(k).map(|v| (k.to_owned(), v.clone())).into_iter().collect();
        for w in mine()
            .filter(|w| matches!(w, Write::Put(x, _) | Write::Append(x, _) | Write::Add(x, _) if x == k))
        {
            apply_write(&mut one, w);
        }
        one.remove(k).unwrap_or(Value::Null)
    };
    match words.first().copied() {
        Some("put") => ran(json!([["ok"]]), vec![Write::Put(key(1)?, a(2)?)]),
        Some("append") => ran(json!([["ok"]]), vec![Write::Append(key(1)?, a(2)?)]),
        Some("add") => {
            let d = a(2)?.as_i64().ok_or("add takes a number")?;
            ran(json!([["ok"]]), vec![Write::Add(key(1)?, d)])
        }
        Some("get") => ran(json!([[seen(&key(1)?)]]), vec![]),
        Some("len") => ran(json!([[seen(&key(1)?).as_array().map_or(0, Vec::len)]]), vec![]),
        Some("has") => {
            let (k, v) = (key(1)?, a(2)?);
            ran(json!([[seen(&k).as_array().is_some_and(|l| l.contains(&v))]]), vec![])
        }
        Some("echo") => ran(json!([[a(1)?, a(2)?]]), vec![]),
        Some("show") => {
            let k = key(1)?;
            ran(json!([[c.settings.get(&k)]]), vec![])
        }
        Some("sleep") => {
            let ms = a(1)?.as_u64().ok_or("sleep takes milliseconds")?;
            Ok(StatementResult { rows: json!([["slept"]]), writes: vec![], sleep_ms: ms })
        }
        Some("exec") => {
            let name = words.get(1).copied().unwrap_or_default();
            let body = c.prepared.get(name).ok_or_else(|| format!("nothing is prepared as {name}"))?;
            if body.starts_with("exec") {
                return Err("a prepared statement may not exec".into());
            }
            run_statement(c, kv, body, params)
        }
        _ => Err("no such statement".into()),
    }
}
