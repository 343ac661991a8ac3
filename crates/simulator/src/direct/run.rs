//! One seed of a held fleet from start to end: a quiet start, a time of faults, healing, and the checks.
use super::laid::{Laid, build_fleet};
use super::{operator, origin};
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

const START: Millis = 6_000;
const FAULTS: Millis = 30_000;
const RECOVERY_PERIOD: Millis = 16_000;
const CLIENTS: usize = 9;
/// Service is back within that after all is healed.
const BACK: Millis = 10_000;

pub fn run_seed(s: &DirectSimOptions) -> DirectReport {
    let l = build_fleet(s.seed, s.keepers, s.nodes, s.bug.as_deref(), s.verbose);
    let stop = Arc::new(AtomicBool::new(false));
    l.core.run_in(l.clients, || {
        operator::go(&l, &stop);
        for _ in 0..CLIENTS {
            seam::spawn(origin::run(l.clone(), stop.clone()));
        }
    });
    l.core.run_until(START);
    l.schedule_faults(START, FAULTS);
    l.core.run_until(START + FAULTS);
    l.heal_all();
    let healed = l.core.now();
    l.core.run_until(healed + RECOVERY_PERIOD);
    stop.store(true, Ordering::SeqCst);
    l.core.run_until(healed + RECOVERY_PERIOD + 4_000);
    let r = report(s, &l, healed);
    l.end();
    r
}

fn report(s: &DirectSimOptions, l: &Arc<Laid>, healed: Millis) -> DirectReport {
    let now = l.core.now();
    let trace = l.core.lock().trace;
    l.site.with(|st| {
        if let Some(i) = st.lead() {
            st.book.lost(now, &st.servers[i], "leads at the end");
        }
        let times = st.book.acked.iter().map(|(at, _)| *at).filter(|at| *at > healed);
        let mut times: Vec<Millis> =
            [healed].into_iter().chain(times).chain([healed + RECOVERY_PERIOD]).collect();
        times.sort_unstable();
        let back_ms = times.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(Millis::MAX);
        if back_ms > BACK {
            st.book.record_violation(format!(
                "BACK: nothing was acknowledged for {back_ms} ms after all was healed"
            ));
        }
        if st.book.acked.is_empty() || st.book.reads == 0 || st.book.versions.is_empty() {
            st.book
                .record_violation("the run proves nothing: no commit, read or blueprint came through".into());
        }
        let mut breaches = std::mem::take(&mut st.book.breaches);
        breaches.extend(l.watched.commit_watch.lock().unwrap().breaches.iter().cloned());
        let told = l.nodes.iter().filter_map(|n| n.live());
        let words = told.flat_map(|n| n.fleet.promotion_state.events.lock().unwrap().clone());
        let story = std::mem::take(&mut st.book.event_log).into_iter().chain(words).collect();
        DirectReport {
            seed: s.seed,
            violations: breaches,
            acknowledged: st.book.acked.len(),
            reads: st.book.reads,
            statements: st.book.tries,
            config_versions: st.book.versions.len(),
            promotions: st.promotions,
            trace,
            longest_outage_ms: back_ms,
            event_log: story,
        }
    })
}
