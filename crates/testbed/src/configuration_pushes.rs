//! Operators of a run on a real fleet: they push two at once, broken, twice, and alone (§9.2, §1 N11).
use crate::caller::LoadEnvironment;
use crate::history::{AcknowledgedPush, MAX_PUSH_TIME, PushAttempt, PushEnd};
use crate::scenario::{fleet_status, operator_call};
use crate::script::{invalid_configuration, with_mark};
use quincehatch_core::ErrorCode;
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

struct ConfigurationPush<'a> {
    operator_addresses: &'a [String],
    env: &'a Arc<LoadEnvironment>,
    base: u64,
    text: String,
    key: String,
}

impl ConfigurationPush<'_> {
    /// Sends the push until it is answered for good, over another desk each time, and notes every answer.
    async fn send(&self, desk: usize, race: Option<u64>, valid: bool) -> Option<PushEnd> {
        let began = now();
        let mut row = PushAttempt {
            key: self.key.clone(),
            base: self.base,
            race,
            valid,
            majority_up: true,
            asked: began,
            ends: vec![],
        };
        let mut at = desk;
        let last = loop {
            let desk = &self.operator_addresses[at % self.operator_addresses.len()];
            let body = json!({"text": self.text, "base": self.base, "key": self.key, "by": "lab"});
            let got = operator_call(desk, "push", &body, 6_000).await;
            let end = match &got {
                Some((200, v)) => PushEnd::Version(v["version"].as_u64().unwrap_or(0)),
                Some((_, v)) => PushEnd::Rejected(v["error"]["code"].as_u64().unwrap_or(0)),
                None => PushEnd::NoReply,
            };
            row.ends.push((end, now()));
            if let PushEnd::Version(version) = end {
                self.env.history.lock().unwrap().pushes.push(AcknowledgedPush { version, acked: now() });
            }
            let codes =
                [ErrorCode::ConfigurationInvalid, ErrorCode::ConfigurationStale, ErrorCode::PushConflict]
                    .map(|c| u64::from(c.number()));
            let done = matches!(end, PushEnd::Version(_))
                || matches!(end, PushEnd::Rejected(c) if codes.contains(&c));
            if done || now() > began + MAX_PUSH_TIME {
                break Some(end).filter(|_| done);
            }
            at += 1;
            seam::sleep(Duration::from_millis(200)).await;
        };
        self.env.history.lock().unwrap().push_attempts.push(row);
        last
    }
}

/// Two at once on one version and a broken one beside them; the winner once more; then one alone.
pub async fn push_round(desks: &[String], text: &str, w: &Arc<LoadEnvironment>, mark: u64) {
    // A node that has just started knows of no version yet.
    let Some(base) = fleet_status(desks).await["version"].as_u64().filter(|e| *e > 0) else { return };
    let push = |base, text: String, key: String| ConfigurationPush {
        operator_addresses: desks,
        env: w,
        base,
        text,
        key,
    };
    let (a, b, x) = (
        push(base, with_mark(text, mark), format!("a{mark}")),
        push(base, with_mark(text, mark + 1), format!("b{mark}")),
        push(base, invalid_configuration(), format!("x{mark}")),
    );
    let race = Some(mark);
    let (won, _, _) = tokio::join!(a.send(0, race, true), b.send(1, race, true), x.send(2, None, false));
    if matches!(won, Some(PushEnd::Version(_))) {
        a.send(1, race, true).await;
    }
    for i in 0..4 {
        let base = fleet_status(desks).await["version"].as_u64().unwrap_or(base);
        let alone = push(base, with_mark(text, mark + 2), format!("c{mark}/{i}"));
        // Another's push came first: it builds on that one then.
        let stale = PushEnd::Rejected(ErrorCode::ConfigurationStale.number().into());
        if alone.send(i, None, true).await != Some(stale) {
            return;
        }
    }
}
