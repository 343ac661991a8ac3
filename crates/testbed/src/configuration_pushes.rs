//! Operators of a run: they push two configurations at once, an invalid one, one twice, and one alone.
use crate::fleet_calls::{fleet_status, operator_call};
use crate::history::{AcknowledgedPush, MAX_PUSH_TIME, PushAttempt, PushEnd};
use crate::load_environment::LoadEnvironment;
use crate::script::{invalid_configuration, with_mark};
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Deadline of one push, and the pause before it is sent again.
const PUSH_DEADLINE: Millis = 6_000;
const PUSH_RETRY: Duration = Duration::from_millis(200);
/// A push alone is built again so often on what came before it.
const LONE_PUSHES: usize = 4;

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

/// True if the push need not be sent again.
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
    /// Sends the push until its answer is final, over another node each time, and records every answer.
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

/// Two valid pushes at once on one version and an invalid one beside them; the first once more if it won; then one alone.
pub async fn push_round(operators: &[String], text: &str, env: &Arc<LoadEnvironment>, mark: u64) {
    // A node that has just started knows of no version yet.
    let known = fleet_status(operators).await["version"].as_u64();
    let Some(base) = known.filter(|version| *version > 0) else { return };
    let push = |base, text, key| ConfigurationPush { operators, env, base, text, key };
    let first = push(base, with_mark(text, mark), format!("a{mark}"));
    let second = push(base, with_mark(text, mark + 1), format!("b{mark}"));
    let invalid = push(base, invalid_configuration(), format!("x{mark}"));
    let race = Some(mark);
    let (first_end, _, _) =
        tokio::join!(first.send(0, race, true), second.send(1, race, true), invalid.send(2, None, false));
    if matches!(first_end, Some(PushEnd::Version(_))) {
        first.send(1, race, true).await;
    }
    for node in 0..LONE_PUSHES {
        let base = fleet_status(operators).await["version"].as_u64().unwrap_or(base);
        let alone = push(base, with_mark(text, mark + 2), format!("c{mark}/{node}"));
        // If another push came first, it is built anew on that one.
        let stale = PushEnd::Rejected(ErrorCode::ConfigurationStale.number().into());
        if alone.send(node, None, true).await != Some(stale) {
            return;
        }
    }
}
