//! The load of a run: callers, and operators who push configurations.
use super::setup::SimulatedFleet;
use quincehatch_runtime::seam;
use quincehatch_testbed::caller::Caller;
use quincehatch_testbed::configuration_pushes::push_round;
use quincehatch_testbed::load_environment::LoadEnvironment;
use quincehatch_testbed::scenario::operator_call;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Number of callers for each group.
const CALLERS: usize = 8;
/// Mean pause between two calls of a caller.
const CALLER_PAUSE_MS: u64 = 200;
const LOOKUP_DEADLINE_MS: u64 = 3_000;
const ORDERS_PER_MILLE: u64 = 650;
const MOVES_PER_MILLE: u64 = 30;
/// Deadline of the first push of the configuration.
const PUSH_DEADLINE_MS: u64 = 5_000;
/// Pause before the first push is retried.
const PUSH_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time from the acknowledgement of the first configuration to the start of the callers.
const CALLERS_DELAY: Duration = Duration::from_secs(2);
/// Distance between the first marks of two seeds. Marks distinguish pushes of a configuration.
const MARKS_PER_SEED: u64 = 1_000;
/// Distance between the marks of two rounds of pushes.
const MARKS_PER_ROUND: u64 = 10;

/// Returns the environment that all callers of a fleet share.
pub(super) fn load_environment(fleet: &SimulatedFleet) -> Arc<LoadEnvironment> {
    Arc::new(LoadEnvironment {
        keeps_connections: false,
        history: Default::default(),
        platform: fleet.platform.clone(),
        groups: fleet.shape.groups,
        zones: fleet.shape.zones,
        zone_affinity: false,
        pause_ms: CALLER_PAUSE_MS,
        lookup_ms: LOOKUP_DEADLINE_MS,
        orders_per_mille: ORDERS_PER_MILLE,
        moves_per_mille: MOVES_PER_MILLE,
        stop: AtomicBool::new(false),
        sent_statements: Default::default(),
        calls: Default::default(),
        extra_callers: Default::default(),
    })
}

/// Pushes the first configuration, starts the callers, and then pushes further configurations at random intervals.
pub(super) async fn run_load(
    operators: Vec<String>,
    configuration: String,
    env: Arc<LoadEnvironment>,
    seed: u64,
) {
    let body = json!({"text": configuration, "key": "first", "base": 0, "by": "sim"});
    while !matches!(operator_call(&operators[0], "push", &body, PUSH_DEADLINE_MS).await, Some((200, _))) {
        seam::sleep(PUSH_RETRY_PAUSE).await;
    }
    seam::sleep(CALLERS_DELAY).await;
    for id in 0..CALLERS * env.groups {
        seam::spawn(Caller::new(env.clone(), id, seed).run_until(u64::MAX, CALLER_PAUSE_MS));
    }
    let mut mark = seed * MARKS_PER_SEED;
    while !env.stop.load(Ordering::SeqCst) {
        let push_pause = fastrand::u64(1_000..5_000);
        seam::sleep(Duration::from_millis(push_pause)).await;
        mark += MARKS_PER_ROUND;
        push_round(&operators, &configuration, &env, mark).await;
    }
}
