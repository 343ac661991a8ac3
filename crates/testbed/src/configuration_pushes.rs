//! Configuration pushes of a run's operators: two concurrent ones, an invalid one, one sent twice, and one alone.
use crate::first_configuration::{GUARDED_DATABASE, guest_key, with_guest_key};
use crate::fleet::FleetPlan;
use crate::fleet_calls::{fleet_status, operator_call};
use crate::history::{AcknowledgedPush, MAX_APPLY_DELAY, MAX_PUSH_TIME, PushAttempt, PushEnd};
use crate::load_environment::LoadEnvironment;
use crate::script::{invalid_configuration, with_mark};
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::{JsonRequest, call_once};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Deadline of one push call, and the pause before the push is sent again.
const PUSH_DEADLINE: Millis = 6_000;
const PUSH_RETRY: Duration = Duration::from_millis(200);
/// Number of times that the push alone is rebuilt on a newer base version.
const LONE_PUSHES: usize = 4;
/// Deadline and timeout of one request with a revoked key.
const PROBE_DEADLINE: Millis = 500;
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A push under its key.
struct ConfigurationPush<'round> {
    operators: &'round [String],
    env: &'round Arc<LoadEnvironment>,
    base: u64,
    text: String,
    key: String,
}

fn push_end(reply: Option<&(u16, Value)>) -> PushEnd {
    match reply {
        Some((200, body)) => PushEnd::Version(body["version"].as_u64().unwrap_or(0)),
        Some((_, body)) => PushEnd::Rejected(body["error"]["code"].as_u64().unwrap_or(0)),
        None => PushEnd::NoReply,
    }
}

/// Returns whether the push need not be sent again.
fn is_final(end: PushEnd) -> bool {
    let final_codes =
        [ErrorCode::ConfigurationInvalid, ErrorCode::ConfigurationStale, ErrorCode::PushConflict];
    match end {
        PushEnd::Version(_) => true,
        PushEnd::Rejected(code) => final_codes.iter().any(|wanted| u64::from(wanted.number()) == code),
        PushEnd::NoReply => false,
    }
}

impl ConfigurationPush<'_> {
    /// Sends the push until its reply is final, through another node each time, and records every reply.
    async fn send(&self, first_node: usize, race: Option<u64>, valid: bool) -> Option<PushEnd> {
        let began = now();
        let mut attempt = PushAttempt {
            key: self.key.clone(),
            base: self.base,
            race,
            valid,
            majority_up: true,
            asked: began,
            ends: Vec::new(),
        };
        let mut node = first_node;
        let last = loop {
            let operator = &self.operators[node % self.operators.len()];
            let body = json!({"text": self.text, "base": self.base, "key": self.key, "by": "lab"});
            let reply = operator_call(operator, "push", &body, PUSH_DEADLINE).await;
            let end = push_end(reply.as_ref());
            attempt.ends.push((end, now()));
            if let PushEnd::Version(version) = end {
                let acknowledged = AcknowledgedPush { version, acked: now() };
                self.env.history.lock().unwrap().pushes.push(acknowledged);
            }
            if is_final(end) {
                break Some(end);
            }
            if now() > began + MAX_PUSH_TIME {
                break None;
            }
            node += 1;
            seam::sleep(PUSH_RETRY).await;
        };
        self.env.history.lock().unwrap().push_attempts.push(attempt);
        last
    }
}

/// Sends two valid pushes on the same base version and an invalid one concurrently, repeats the first if it won, and
/// then sends one alone.
pub async fn push_round(operators: &[String], text: &str, env: &Arc<LoadEnvironment>, mark: u64) {
    push_marked(operators, &|mark| with_mark(text, mark), env, mark).await;
}

/// Runs [`push_round`] with a separate key in each configuration, and then checks that no node serves the revoked keys
/// of the first two.
pub async fn push_round_with_keys(fleet: &FleetPlan, text: &str, env: &Arc<LoadEnvironment>, mark: u64) {
    let marked = |mark| with_mark(&with_guest_key(text, mark), mark);
    if push_marked(&fleet.operator_addresses(), &marked, env, mark).await {
        check_revoked_keys(fleet, env, [mark, mark + 1]).await;
    }
}

/// Runs a round of pushes; returns whether the push alone was accepted, so that no earlier configuration is in force.
async fn push_marked(
    operators: &[String],
    marked: &(dyn Fn(u64) -> String + Sync),
    env: &Arc<LoadEnvironment>,
    mark: u64,
) -> bool {
    // A node that has just started has no configuration version yet.
    let known = fleet_status(operators).await["version"].as_u64();
    let Some(base) = known.filter(|version| *version > 0) else { return false };
    let push = |base, text, key| ConfigurationPush { operators, env, base, text, key };
    let first = push(base, marked(mark), format!("a{mark}"));
    let second = push(base, marked(mark + 1), format!("b{mark}"));
    let invalid = push(base, invalid_configuration(), format!("x{mark}"));
    let race = Some(mark);
    let (first_end, _, _) =
        tokio::join!(first.send(0, race, true), second.send(1, race, true), invalid.send(2, None, false));
    if matches!(first_end, Some(PushEnd::Version(_))) {
        first.send(1, race, true).await;
    }
    for node in 0..LONE_PUSHES {
        let base = fleet_status(operators).await["version"].as_u64().unwrap_or(base);
        let alone = push(base, marked(mark + 2), format!("c{mark}/{node}"));
        // If another push was accepted first, the push is rebuilt on that version.
        let stale = PushEnd::Rejected(ErrorCode::ConfigurationStale.number().into());
        match alone.send(node, None, true).await {
            Some(PushEnd::Version(_)) => return true,
            end if end != Some(stale) => return false,
            _ => {}
        }
    }
    false
}

/// Checks that no node serves the keys of these marks, which a later configuration has revoked. This includes nodes
/// that were down or received the configuration late.
async fn check_revoked_keys(fleet: &FleetPlan, env: &Arc<LoadEnvironment>, marks: [u64; 2]) {
    seam::sleep(Duration::from_millis(MAX_APPLY_DELAY)).await;
    let body = json!({"text": "get keys", "labels": {"db": GUARDED_DATABASE}, "deadline_ms": PROBE_DEADLINE});
    for mark in marks {
        let key = guest_key(mark);
        for node in &fleet.nodes {
            let request =
                JsonRequest { method: "POST", path: "/v1/lookup", body: &body, token: Some(key.as_str()) };
            let reply = call_once(&node.client_listener, &request, PROBE_TIMEOUT).await;
            if matches!(reply, Ok((200, _))) {
                let violation = format!("N13 a key that was revoked is served at {}", node.client_listener);
                env.history.lock().unwrap().violations.push(violation);
            }
        }
    }
}
