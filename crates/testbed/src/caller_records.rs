//! Recording of a caller's calls in the history.
use crate::caller::Caller;
use crate::history::{AnswerRecord, AttemptRecord, CallEnd, SentStatement, ServedCall, VersionRecord};
use crate::reply::{Reply, call_end};
use crate::stand_in::journal::request_id;
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::now;
use serde_json::Value;

/// A reply that arrives more than this after its call's deadline counts as late.
const LATE_AFTER: Millis = 200;

/// A call that was sent.
pub(crate) struct SentCall<'call> {
    pub(crate) path: &'call str,
    pub(crate) body: &'call Value,
    pub(crate) asked: Millis,
    pub(crate) deadline: Millis,
}

impl Caller {
    /// Records the lateness of a reply, the configuration version of its node, and the server's answer if it is a
    /// success.
    pub(crate) fn record_answer(&self, call: &SentCall<'_>, reply: &Reply) {
        let SentCall { path, body, asked, deadline } = *call;
        let answer = &reply.body;
        let mut history = self.env.history.lock().unwrap();
        if now() > asked + deadline + LATE_AFTER {
            history.late_replies += 1;
        }
        // A request without a route ran under no version: its node may have no lease and no configuration.
        let was_routed = answer["where"]["placement"].as_str().is_some_and(|placement| !placement.is_empty());
        let (version, node) = (answer["where"]["version"].as_u64(), answer["where"]["node"].as_str());
        if let (true, Some(version), Some(node)) = (was_routed, version, node) {
            history.versions.push(VersionRecord { node: node.into(), asked, answered: now(), version });
        }
        if answer["end"] == "kept" {
            let (stamp, rows) = (answer["stamp"].clone(), answer["rows"].clone());
            history.answers.push(AnswerRecord { path: path.into(), id: request_id(body), stamp, rows });
        }
    }

    /// Records a statement or session state that is sent, so that the servers' journals can be compared with it.
    pub(crate) fn record_sent(&self, path: &str, body: &Value) {
        let Some(text) = body["text"].as_str() else { return };
        let mut sent = self.env.sent_statements.lock().unwrap();
        match path {
            "/v1/set" => {
                sent.session_state.insert(text.to_owned());
            }
            "/v1/prepare" => {
                let name = body["name"].as_str().unwrap_or_default();
                sent.session_state.insert(format!("{name}={text}"));
            }
            _ => {
                let mark = body["params"].as_array().and_then(|params| params.last()).and_then(Value::as_str);
                let mark = mark.unwrap_or_default().to_owned();
                let statement = sent.marks.entry(mark).or_insert_with(|| SentStatement {
                    text: text.to_owned(),
                    params: body["params"].clone(),
                    times: 0,
                    retryable: path == "/v1/lookup" && body["order_side"] != true,
                });
                statement.times += 1;
            }
        }
    }

    /// Records an order or lookup that has ended.
    pub(crate) fn record_served(&self, kind: &'static str, asked: Millis, succeeded: bool, code: u64) {
        let call = ServedCall { asked, ended: now(), succeeded, code };
        let mut history = self.env.history.lock().unwrap();
        history.served.entry((self.group(), kind)).or_default().push(call);
    }

    /// Records how a call about an order ended, and returns that end.
    pub(crate) fn record_reply(&self, key: &str, asked: Millis, reply: Option<&Reply>) -> CallEnd {
        let end = call_end(reply);
        let is_sealed = reply.is_some_and(|reply| reply.has_code(&[ErrorCode::Sealed]));
        let mut history = self.env.history.lock().unwrap();
        let attempt = history.attempts.entry(key.to_owned()).or_insert_with(|| AttemptRecord {
            group: self.group(),
            list: self.list(),
            key: key.to_owned(),
            ends: Vec::new(),
            sealed: false,
        });
        attempt.ends.push((end, asked, now()));
        attempt.sealed |= is_sealed;
        end
    }
}
