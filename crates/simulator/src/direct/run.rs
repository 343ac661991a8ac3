//! One seed of a held fleet from start to end: a quiet start, a time of faults, healing, and the checks.
use super::setup::{DirectFleet, build_fleet};
use super::{client, operator};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a run came to.
#[derive(Debug, Default)]
pub struct DirectReport {
    pub seed: u64,
    pub violations: Vec<String>,
    pub acknowledged: usize,
    pub reads: usize,
    pub statements: usize,
    pub config_versions: usize,
    pub promotions: usize,
    /// Hash of all that happened: two runs of one seed have the same.
    pub trace: u64,
    /// The longest time without an acknowledged commit after all was healed.
    pub longest_outage_ms: Millis,
    pub event_log: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct DirectSimOptions {
    pub seed: u64,
    pub keepers: usize,
    pub nodes: usize,
    pub bug: Option<String>,
    pub verbose: bool,
}

const FAULTS_FROM: Millis = 6_000;
const FAULT_PERIOD: Millis = 30_000;
const RECOVERY_PERIOD: Millis = 16_000;
const CLIENTS: usize = 9;
/// Service is back within that after all is healed.
const MAX_OUTAGE: Millis = 10_000;

pub fn run_seed(s: &DirectSimOptions) -> DirectReport {
    let l = build_fleet(s.seed, s.keepers, s.nodes, s.bug.as_deref(), s.verbose);
    let stop = Arc::new(AtomicBool::new(false));
    l.core.run_in(l.clients, || {
        operator::start(&l, &stop);
        for _ in 0..CLIENTS {
            seam::spawn(client::run_client(l.clone(), stop.clone()));
        }
    });
    l.core.run_until(FAULTS_FROM);
    l.schedule_faults(FAULTS_FROM, FAULT_PERIOD);
    l.core.run_until(FAULTS_FROM + FAULT_PERIOD);
    l.heal_all();
    let healed = l.core.now();
    l.core.run_until(healed + RECOVERY_PERIOD);
    stop.store(true, Ordering::SeqCst);
    l.core.run_until(healed + RECOVERY_PERIOD + 4_000);
    let r = report(s, &l, healed);
    l.shut_down();
    r
}

fn report(s: &DirectSimOptions, l: &Arc<DirectFleet>, healed: Millis) -> DirectReport {
    let now = l.core.now();
    let trace = l.core.lock().trace;
    l.group.with(|st| {
        if let Some(i) = st.primary() {
            st.ledger.check_log_complete(now, &st.servers[i], "leads at the end");
        }
        let times = st.ledger.acknowledged.iter().map(|(at, _)| *at).filter(|at| *at > healed);
        let mut times: Vec<Millis> =
            [healed].into_iter().chain(times).chain([healed + RECOVERY_PERIOD]).collect();
        times.sort_unstable();
        let back_ms = times.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(Millis::MAX);
        if back_ms > MAX_OUTAGE {
            st.ledger.record_violation(format!(
                "BACK: nothing was acknowledged for {back_ms} ms after all was healed"
            ));
        }
        if st.ledger.acknowledged.is_empty() || st.ledger.reads == 0 || st.ledger.config_versions.is_empty() {
            st.ledger
                .record_violation("the run proves nothing: no commit, read or blueprint came through".into());
        }
        let mut breaches = std::mem::take(&mut st.ledger.violations);
        breaches.extend(l.keeper_registry.commit_watch.lock().unwrap().breaches.iter().cloned());
        let told = l.nodes.iter().filter_map(|n| n.live());
        let words = told.flat_map(|n| n.node.promotion_state.events.lock().unwrap().clone());
        let story = std::mem::take(&mut st.ledger.event_log).into_iter().chain(words).collect();
        DirectReport {
            seed: s.seed,
            violations: breaches,
            acknowledged: st.ledger.acknowledged.len(),
            reads: st.ledger.reads,
            statements: st.ledger.statements,
            config_versions: st.ledger.config_versions.len(),
            promotions: st.promotions,
            trace,
            longest_outage_ms: back_ms,
            event_log: story,
        }
    })
}
