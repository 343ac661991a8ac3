//! The test bench's own calls to a stand-in: they set faults, start and end draining, and read its data.
use super::StandIn;
use crate::database::LogRecord;
use quincehatch_core::ServerState;
use quincehatch_runtime::now;
use serde_json::{Value, json};

/// Answers a call under `/lab/`.
pub fn answer_lab_call(server: &StandIn, path: &str, body: Value) -> Value {
    match path {
        "/lab/fault" => {
            if let Ok(settings) = serde_json::from_value(body) {
                server.faults.apply(&settings);
            }
            json!({})
        }
        "/lab/leave" => {
            let state = if body.get("back").is_some() { ServerState::Up } else { ServerState::Draining };
            *server.state.lock().unwrap() = (state, now());
            json!({})
        }
        "/lab/facts" => {
            let db = server.db.lock().unwrap();
            let committed = db.log.iter().take(db.commit as usize);
            let log: Vec<String> = committed.map(LogRecord::summary).collect();
            json!({"kv": db.values, "log": log, "role": db.role, "fence": db.fence})
        }
        _ => json!({"error": {"code": "no-such-call", "text": ""}}),
    }
}
