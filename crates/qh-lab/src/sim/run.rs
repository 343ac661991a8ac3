//! One seed from start to end (§9.1).
use super::faults;
use super::world::Ev;
use qh_core::Ms;

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub breaches: Vec<String>,
    pub kept: usize,
    pub tries: usize,
    pub reads: usize,
    pub pushes: usize,
    pub promotions: usize,
    pub sent: u64,
    /// Hash of all that happened: two runs of one seed have the same.
    pub trace: u64,
    pub back_ms: Ms,
}

/// Runs one seed: a quiet start, a time of faults, healing, and the checks.
pub fn run(seed: u64, keepers: usize, nodes: usize, bug: Option<&str>, tell: bool) -> Report {
    let mut w = faults::lay_out(seed, keepers, nodes, bug);
    w.hist.tell = tell;
    let mut trace = 0;
    const START: Ms = 8_000;
    const FAULTS: Ms = 40_000;
    const HEAL: Ms = 25_000;
    w.at(4_000, Ev::Client);
    faults::schedule(&mut w, START, FAULTS);
    w.step_until(START + FAULTS, &mut trace);
    faults::heal(&mut w);
    let healed = w.now;
    w.step_until(healed + HEAL, &mut trace);
    w.client.stop = true;
    w.step_until(w.now + 15_000, &mut trace);
    super::facts::check(&mut w, healed);
    let h = &w.hist;
    Report {
        seed,
        kept: h.kept(),
        tries: h.tries.len(),
        reads: h.reads,
        pushes: h.pushes.len(),
        promotions: h.promotions,
        sent: w.sent,
        trace,
        back_ms: h.back_after(healed),
        breaches: h.breaches.clone(),
    }
}
