//! The lab's own calls to a stand-in: faults, leaving, and what it holds (§9.2).
use super::StandIn;
use quincehatch_core::ServerState;
use quincehatch_runtime::now;
use serde_json::{Value, json};

pub fn answer_lab_call(s: &StandIn, path: &str, b: Value) -> Value {
    match path {
        "/lab/fault" => {
            if let Ok(w) = serde_json::from_value(b) {
                s.faults.apply(&w);
            }
            json!({})
        }
        "/lab/leave" => {
            let st = if b.get("back").is_some() { ServerState::Up } else { ServerState::Draining };
            *s.state.lock().unwrap() = (st, now());
            json!({})
        }
        "/lab/facts" => {
            let d = s.db.lock().unwrap();
            let log: Vec<String> =
                d.log.iter().take(d.commit as usize).map(crate::database::LogRecord::summary).collect();
            json!({"kv": d.values, "log": log, "role": d.role, "fence": d.fence})
        }
        _ => json!({"error": {"code": "no-such-call", "text": ""}}),
    }
}
