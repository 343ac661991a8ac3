//! The small statement language of the stand-ins: put, append, add, get, len, has, echo, show, sleep, exec.
use crate::database::{Write, apply_write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// State of one connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState {
    /// Settings by name.
    pub settings: BTreeMap<String, String>,
    /// Prepared statements by name.
    pub prepared: BTreeMap<String, String>,
    /// The open transaction.
    pub transaction: Option<OpenTransaction>,
}

/// A transaction that is open on a connection.
#[derive(Clone, Debug, Default)]
pub struct OpenTransaction {
    /// Id of the transaction.
    pub id: u64,
    /// Its writes so far.
    pub writes: Vec<Write>,
    /// Rows of its last statement, which the reply to its commit returns.
    pub last_rows: Value,
}

/// The result of a statement, with the writes and the wait that the caller must perform.
#[derive(Debug, PartialEq)]
pub struct StatementResult {
    /// Rows of the answer.
    pub rows: Value,
    /// Writes to perform.
    pub writes: Vec<Write>,
    /// Duration of the statement in milliseconds.
    pub sleep_ms: u64,
}

impl StatementResult {
    fn read(rows: Value) -> StatementResult {
        StatementResult { rows, writes: Vec::new(), sleep_ms: 0 }
    }

    fn write(write: Write) -> StatementResult {
        StatementResult { rows: json!([["ok"]]), writes: vec![write], sleep_ms: 0 }
    }
}

/// The words of a statement, with its parameters.
struct Words<'text> {
    words: Vec<&'text str>,
    params: &'text Value,
}

impl Words<'_> {
    /// Returns the value of the word at `place`: a parameter (`$1`), a number, or a text.
    fn argument(&self, place: usize) -> Result<Value, String> {
        let word = self.words.get(place).ok_or("a word is missing")?;
        match word.strip_prefix('$').and_then(|number| number.parse::<usize>().ok()) {
            Some(number) => {
                let param = self.params.get(number.wrapping_sub(1));
                param.cloned().ok_or_else(|| format!("there is no parameter {number}"))
            }
            None => Ok(word.parse::<i64>().map_or_else(|_| Value::from(*word), Value::from)),
        }
    }

    /// Returns the word at `place` as the key of a value.
    fn key(&self, place: usize) -> Result<String, String> {
        let value = self.argument(place)?;
        Ok(value.as_str().map_or_else(|| value.to_string(), str::to_owned))
    }
}

/// Sets a setting of the connection from `name=value`.
pub fn set_setting(connection: &mut ConnectionState, text: &str) -> Result<(), String> {
    let (name, value) = text.split_once('=').ok_or("a setting is name=value")?;
    connection.settings.insert(name.trim().into(), value.trim().into());
    Ok(())
}

/// Returns a value as the connection's open transaction sees it, including its own writes.
fn visible_value(connection: &ConnectionState, values: &BTreeMap<String, Value>, key: &str) -> Value {
    let mut visible: BTreeMap<String, Value> = BTreeMap::new();
    visible.extend(values.get(key).map(|value| (key.to_owned(), value.clone())));
    for write in connection.transaction.iter().flat_map(|open| &open.writes) {
        let (Write::Put(written, _) | Write::Append(written, _) | Write::Add(written, _)) = write;
        if written == key {
            apply_write(&mut visible, write.clone());
        }
    }
    visible.remove(key).unwrap_or(Value::Null)
}

/// Runs one statement against the values as the connection's open transaction sees them.
pub fn run_statement(
    connection: &ConnectionState,
    values: &BTreeMap<String, Value>,
    text: &str,
    params: &Value,
) -> Result<StatementResult, String> {
    let statement = Words { words: text.split_whitespace().collect(), params };
    let visible = |key: &str| visible_value(connection, values, key);
    match statement.words.first().copied() {
        Some("put") => Ok(StatementResult::write(Write::Put(statement.key(1)?, statement.argument(2)?))),
        Some("append") => {
            Ok(StatementResult::write(Write::Append(statement.key(1)?, statement.argument(2)?)))
        }
        Some("add") => {
            let amount = statement.argument(2)?.as_i64().ok_or("add takes a number")?;
            Ok(StatementResult::write(Write::Add(statement.key(1)?, amount)))
        }
        Some("get") => Ok(StatementResult::read(json!([[visible(&statement.key(1)?)]]))),
        Some("len") => {
            let length = visible(&statement.key(1)?).as_array().map_or(0, Vec::len);
            Ok(StatementResult::read(json!([[length]])))
        }
        Some("has") => {
            let (list, value) = (visible(&statement.key(1)?), statement.argument(2)?);
            let found = list.as_array().is_some_and(|list| list.contains(&value));
            Ok(StatementResult::read(json!([[found]])))
        }
        Some("echo") => Ok(StatementResult::read(json!([[statement.argument(1)?, statement.argument(2)?]]))),
        Some("show") => Ok(StatementResult::read(json!([[connection.settings.get(&statement.key(1)?)]]))),
        Some("sleep") => {
            let sleep_ms = statement.argument(1)?.as_u64().ok_or("sleep takes milliseconds")?;
            Ok(StatementResult { sleep_ms, ..StatementResult::read(json!([["slept"]])) })
        }
        Some("exec") => {
            let name = statement.words.get(1).copied().unwrap_or_default();
            let prepared = connection.prepared.get(name);
            let body = prepared.ok_or_else(|| format!("nothing is prepared as {name}"))?;
            if body.starts_with("exec") {
                return Err("a prepared statement may not exec".into());
            }
            run_statement(connection, values, body, params)
        }
        _ => Err("no such statement".into()),
    }
}
