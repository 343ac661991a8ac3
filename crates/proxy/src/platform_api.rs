//! The wire shapes of the platform, all in this one module (§3.4, docs/server.md).
use quincehatch_core::{FencingToken, Name};
use serde_json::{Value, json};

/// Asks the platform to have `server` lead its group under `fence`.
pub fn promote(
    group: &str,
    server: &str,
    addr: &Name,
    fence: FencingToken,
    node: &str,
    counts: &[Name],
) -> (&'static str, Value) {
    (
        "/v1/promote",
        json!({"group": group, "server": server, "addr": addr, "fence": fence, "node": node, "counts": counts}),
    )
}

/// What the platform's answer to a promotion means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    Done,
    /// A higher fence is out, or this one named another server.
    Superseded,
    /// Not known: the server may have been promoted all the same.
    InDoubt,
}

pub fn promotion_outcome(status: Option<u16>) -> PromotionOutcome {
    match status {
        Some(200) => PromotionOutcome::Done,
        Some(409) => PromotionOutcome::Superseded,
        _ => PromotionOutcome::InDoubt,
    }
}
