//! One seed from start to end (§9.1).
use super::setup::{SimulatedFleet, build_fleet};
use super::{faults, promotion_faults};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use quincehatch_testbed::caller::{Caller, LoadEnvironment};
use quincehatch_testbed::configuration_pushes::push_round;
use quincehatch_testbed::fleet::Shape;
use quincehatch_testbed::history::{CallEnd, Facts, check_history, longest_gaps_after};
use quincehatch_testbed::run_facts::{collect_facts, resolve_open_attempts};
use quincehatch_testbed::scenario::operator_call;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub violations: Vec<String>,
    pub committed: usize,
    pub attempts: usize,
    pub reads: usize,
    pub pushes: usize,
    pub promotions: usize,
    pub messages_sent: u64,
    /// Hash of all that happened: two runs of one seed have the same.
    pub trace: u64,
    /// The longest time without a kept order after the last fault was over.
    pub longest_outage_ms: Millis,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimOptions {
    pub seed: u64,
    pub keepers: usize,
    pub nodes: usize,
    pub groups: usize,
    /// One thing breaks down for good, and nothing is healed.
    pub final_fault: bool,
    /// Faults lie close to changes of hands.
    pub promotion_faults: bool,
    pub bug: Option<String>,
    pub verbose: bool,
}

const FAULTS_FROM: Millis = 9_000;
const FAULT_PERIOD: Millis = 30_000;
const RECOVERY_PERIOD: Millis = 17_000;
const CALLERS: usize = 8;
const CALLER_PAUSE_MS: u64 = 200;

fn load_environment(l: &SimulatedFleet) -> Arc<LoadEnvironment> {
    Arc::new(LoadEnvironment {
        history: Default::default(),
        platform: l.platform.clone(),
        groups: l.shape.groups,
        zones: l.shape.zones,
        zone_affinity: false,
        pause_ms: CALLER_PAUSE_MS,
        lookup_ms: 3_000,
        orders_per_mille: 650,
        moves_per_mille: 30,
        stop: AtomicBool::new(false),
        sent_statements: Default::default(),
        calls: Default::default(),
        extra_callers: Default::default(),
    })
}

/// The first blueprint, the callers, and operators who push now and then.
fn start_load(l: &SimulatedFleet, w: &Arc<LoadEnvironment>, seed: u64) {
    let (desks, text, w) = (l.operator_addresses.clone(), l.configuration.clone(), w.clone());
    seam::spawn(async move {
        let body = json!({"text": text, "key": "first", "base": 0, "by": "sim"});
        while !matches!(operator_call(&desks[0], "push", &body, 5_000).await, Some((200, _))) {
            seam::sleep(Duration::from_millis(200)).await;
        }
        seam::sleep(Duration::from_secs(2)).await;
        for id in 0..CALLERS * w.groups {
            seam::spawn(Caller::new(w.clone(), id, seed).run_until(u64::MAX, CALLER_PAUSE_MS));
        }
        let mut mark = seed * 1_000;
        while !w.stop.load(Ordering::SeqCst) {
            let gap = fastrand::u64(1_000..5_000);
            seam::sleep(Duration::from_millis(gap)).await;
            mark += 10;
            push_round(&desks, &text, &w, mark).await;
        }
    });
}

/// Runs one seed: a quiet start, a time of faults, healing, and the checks.
pub fn run_seed(s: &SimOptions) -> Report {
    let shape = Shape {
        name: "sim".into(),
        zones: 3,
        nodes: s.nodes,
        keepers: s.keepers,
        groups: s.groups,
        replicas: 3,
        port: 0,
    };
    let l = Arc::new(build_fleet(s.seed, shape, s.bug.as_deref(), s.verbose));
    let w = load_environment(&l);
    l.core.run_in(l.callers, || start_load(&l, &w, s.seed));
    let (healed, what) = if s.final_fault {
        l.core.run_until(FAULTS_FROM + 2_000);
        (l.core.now(), super::final_faults::inject_final_fault(&l, s.seed))
    } else {
        faults::schedule_faults(
            &l,
            FAULTS_FROM,
            FAULT_PERIOD,
            if s.promotion_faults { promotion_faults::draw_promotion_fault } else { faults::draw_fault },
        );
        l.core.run_until(FAULTS_FROM + FAULT_PERIOD);
        l.heal_all();
        (l.core.now(), "all is healed".to_owned())
    };
    l.core.run_until(healed + RECOVERY_PERIOD);
    // What broke down on top of it, a little later, is a breakdown of its own.
    let healed = healed.max(l.core.lock().trap_sprung_at);
    l.core.run_until(healed + RECOVERY_PERIOD);
    w.stop.store(true, Ordering::SeqCst);
    let end = l.core.now();
    l.core.run_until(end + 6_000);
    let got: Arc<Mutex<Option<Result<Facts, String>>>> = Arc::default();
    let (g, v, desks) = (got.clone(), w.clone(), l.operator_addresses.clone());
    let servers: Vec<_> = l.servers.iter().chain(&l.spares).map(|s| s.address.clone()).collect();
    let seed = s.seed;
    l.core.run_in(l.callers, || {
        seam::spawn(async move {
            resolve_open_attempts(&v, seed).await;
            let f = collect_facts(&desks, &servers).await;
            *g.lock().unwrap() = Some(f);
        })
    });
    for _ in 0..60 {
        l.core.run_until(l.core.now() + 1_000);
        if got.lock().unwrap().is_some() {
            break;
        }
    }
    let facts = got.lock().unwrap().take().unwrap_or_else(|| Err("the end never came".into()));
    let r = report(s, &l, &w, facts, (healed, format!("final: {what}")), end);
    l.shut_down();
    r
}

fn report(
    s: &SimOptions,
    l: &SimulatedFleet,
    w: &LoadEnvironment,
    got: Result<Facts, String>,
    fault: (Millis, String),
    end: Millis,
) -> Report {
    let mut h = w.history.lock().unwrap();
    let healed = fault.0;
    h.push_attempts.iter_mut().for_each(|t| t.majority_up = s.final_fault || t.asked >= healed);
    h.immediate_effect = true;
    let h = h;
    let sent = w.sent_statements.lock().unwrap().clone();
    let journals = l
        .servers
        .iter()
        .chain(&l.spares)
        .map(|s| (s.address.name.clone(), s.disk.journal.entries_so_far()))
        .collect();
    if let Err(e) = &got {
        return Report { seed: s.seed, violations: vec![e.clone()], ..Default::default() };
    }
    let mut breaches = Vec::new();
    let f = Facts { journals, ..got.unwrap_or_default() };
    breaches.extend(check_history(&h, &f, &sent, &[fault], end));
    breaches.extend(l.keeper_registry.commit_watch.lock().unwrap().breaches.iter().cloned());
    let kept = h.attempts.values().filter(|t| t.ends.iter().any(|e| e.0 == CallEnd::Committed)).count();
    if kept == 0 || h.reads.is_empty() || h.pushes.is_empty() {
        breaches.push("the run proves nothing: no order, read or push came through".into());
    }
    let m = l.core.lock();
    Report {
        seed: s.seed,
        committed: kept,
        attempts: h.attempts.len(),
        reads: h.reads.len(),
        pushes: h.pushes.len(),
        promotions: f.logs.values().flat_map(|v| v.first()).map(|(_, log)| count_promotions(log)).sum(),
        messages_sent: m.messages_sent,
        trace: m.trace,
        longest_outage_ms: longest_gaps_after(&h, healed).into_values().max().unwrap_or(Millis::MAX),
        violations: breaches,
    }
}

/// How often hands changed: each new lead's first record says so.
fn count_promotions(log: &[String]) -> usize {
    log.iter().filter(|r| r.ends_with(" start")).count()
}
