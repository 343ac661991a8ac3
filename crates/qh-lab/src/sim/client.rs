//! The simulated callers and operators: what they ask, of whom, and when (§9.1).
use super::facts::{Told, Want};
use super::node::Pend;
use super::world::{Ev, Kind, Msg, Pid, World};
use qh_core::{Ms, Name};
use qh_state::{Ask, Cmd};

#[derive(Default)]
pub struct Client {
    pub nodes: Vec<Pid>,
    pub stop: bool,
    /// Crashes in the midst of a keeper's step may happen.
    pub faulty: bool,
    next_key: u64,
    next_push: Ms,
    ids: u64,
}

const LISTS: u64 = 6;
const ORDER: Ms = 1_000;
const LOOKUP: Ms = 3_000;

impl Client {
    /// One call, and the next one's time.
    pub fn go(w: &mut World) {
        let gap = 10 + w.rng.below(30);
        w.at(w.now + gap, Ev::Client);
        let up: Vec<Pid> = w.client.nodes.iter().copied().filter(|p| w.procs[*p].up).collect();
        let Some(node) = w.rng.pick(&up).copied() else { return };
        if w.procs[node].paused_until > w.now {
            return;
        }
        let Some((want, ms)) = Self::choose(w) else { return };
        w.client.ids += 1;
        let id = w.client.ids;
        w.hist.asked(id, w.now, want.clone());
        let now = w.local(node);
        w.with(node, |w, k| {
            if let Kind::Node(n) = k {
                n.visit(w, node, now, id, want, ms);
            }
        });
        Self::push(w, node);
    }

    fn choose(w: &mut World) -> Option<(Want, Ms)> {
        let list = format!("l{}", w.rng.below(LISTS));
        // Whoever is in doubt asks on, even when nothing new is ordered.
        let doubt = w.hist.in_doubt();
        if w.client.stop || (!doubt.is_empty() && w.rng.chance(400)) {
            let key = w.rng.pick(&doubt)?.clone();
            return Some((Want::Ask { key }, ORDER));
        }
        Some(match w.rng.below(100) {
            0..50 => {
                w.client.next_key += 1;
                let key = Name::from(format!("t{}", w.client.next_key));
                (Want::Order { key, list }, ORDER)
            }
            // A try that was told nothing, or kept, is sent again just as it was.
            50..65 => {
                let (key, list) = w.hist.again(w.rng.draw())?;
                (Want::Order { key, list }, ORDER)
            }
            65..82 => (Want::SideRead { list }, ORDER),
            _ => (Want::Lookup { list }, LOOKUP),
        })
    }

    /// Now and then two operators push at once, on the same edition.
    fn push(w: &mut World, node: Pid) {
        if w.now < w.client.next_push || w.client.stop {
            return;
        }
        w.client.next_push = w.now + 400 + w.rng.below(2_500);
        let other = w.rng.pick(&w.client.nodes.clone()).copied().unwrap_or(node);
        let mark = w.now;
        for (i, p) in [node, other].into_iter().enumerate() {
            if !w.procs[p].up {
                continue;
            }
            let now = w.local(p);
            w.with(p, |w, k| {
                let Kind::Node(n) = k else { return };
                let base = n.store.edition();
                let text = format!("blueprint {mark} {i}");
                let key = Name::from(format!("push/{mark}/{i}"));
                let cmd = Cmd::Push { base, text, by: n.name.clone() };
                w.hist.push_asked(key.clone(), base);
                let to = n.head();
                let ask = Ask::Write { key: key.clone(), cmd };
                n.ask(w, p, &to, now + 8_000, Pend::Push { key }, |r| Msg::Ask(r, ask));
            });
        }
    }

    /// Told of a visit's end; a lost visit (its node died) is in doubt.
    pub fn lost(w: &mut World, node: &str) {
        for id in w.hist.open_at(node) {
            w.hist.told(w.now, id, Told::Unknown);
        }
    }
}
