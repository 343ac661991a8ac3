//! Calls of operators and of the test bench to a running fleet.
use crate::fleet::{ServerAddress, TOKEN};
use quincehatch_core::Millis;
use quincehatch_wire::http::{JsonRequest, call_once, post_once};
use serde_json::{Value, json};
use std::time::Duration;

/// Deadline of a status call, and of a call of the test bench.
const STATUS_DEADLINE: Millis = 1_500;
const LAB_DEADLINE: Duration = Duration::from_secs(5);

/// Sends an operator call and returns the status and body of the reply; none if no reply arrived.
pub async fn operator_call(addr: &str, what: &str, body: &Value, deadline: Millis) -> Option<(u16, Value)> {
    let path = format!("/op/{what}");
    let request = JsonRequest { method: "POST", path: &path, body, token: Some(TOKEN) };
    call_once(addr, &request, Duration::from_millis(deadline)).await.ok()
}

/// Returns the fleet's status from the first node that answers; null if none does.
pub async fn fleet_status(operators: &[String]) -> Value {
    for addr in operators {
        if let Some((200, status)) = operator_call(addr, "status", &json!({}), STATUS_DEADLINE).await {
            return status;
        }
    }
    Value::Null
}

/// Sends a call of the test bench to a server and returns the body of the reply.
pub async fn lab_call(servers: &[ServerAddress], server: &str, path: &str, body: &Value) -> Option<Value> {
    let addr = servers.iter().find(|known| known.name == server)?.addr.clone();
    let (_, answer) = post_once(&addr, path, body, LAB_DEADLINE).await.ok()?;
    Some(answer)
}

/// Returns the primary of a group according to the fleet's status.
pub fn primary_of(status: &Value, group: &str) -> Option<String> {
    let primaries = status["primaries"].as_array()?;
    let primary = primaries.iter().find(|primary| primary["group"] == group)?;
    primary["server"].as_str().map(str::to_owned)
}
