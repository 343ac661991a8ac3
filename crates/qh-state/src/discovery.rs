//! Keepers that nobody listed find one another, and take a lost machine's place (§5.9).
use crate::keeper::Keeper;
use crate::messages::{Machine, PeerMessage, View};
use crate::register::Proposer;
use crate::terms::{PROPOSE_GAP, SILENT};
use qh_core::{Ms, Name, hash64};
use std::collections::BTreeMap;

/// Least time between two askings of one that stands outside.
const SEEK_GAP: Ms = 500;
/// One that stands outside and was not heard of for so long is not brought in.
const FRESH: Ms = 1_500;
/// Outsiders remembered.
const MET: usize = 64;
/// A longer gap between two ticks means that this keeper stood still: what it did not hear tells nothing.
const STILL: Ms = SILENT / 2;

/// How a keeper finds the others when no list names them.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySettings {
    /// Where this keeper is reached.
    pub at: Name,
    /// Where others may be reached.
    pub seeds: Vec<Name>,
    /// A machine silent for so long gives way to one that stands outside.
    pub give_up: Ms,
    /// Voting machines wanted: more than the first view has are taken in from outside, as they come.
    pub machines: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Discovery {
    way: DiscoverySettings,
    candidates: BTreeMap<Name, (Name, Ms)>,
    asked: Ms,
    round: u64,
    ticked: Ms,
    /// Since then it stood still at no time.
    undisturbed_since: Ms,
}

impl View {
    /// The first view of a chain that starts for the first time: every machine named by its address, so that all of
    /// them write the same without a word (§5.9).
    pub fn first(addrs: &[Name]) -> View {
        let mut addrs = addrs.to_vec();
        addrs.sort();
        addrs.dedup();
        let machines = addrs.iter().map(|a| Machine { name: a.clone(), addr: a.clone() }).collect();
        View { version: 1, members: addrs, machines }
    }
    pub fn is_voter(&self, name: &str) -> bool {
        self.machines.iter().any(|m| m.name == name)
    }
}

impl Keeper {
    /// A keeper that finds its place by itself.
    pub fn seeking(mut self, way: DiscoverySettings) -> Self {
        // Places in a list that changes are no ranks: two proposers never use one ballot.
        self.proposer = Proposer::new(hash64(&[self.me.as_bytes()]));
        self.proposer.seen(self.acceptor.promised.n);
        let (candidates, asked, round) = (BTreeMap::new(), 0, 0);
        self.discovery =
            Some(Discovery { way, candidates, asked, round, ticked: self.now, undisturbed_since: self.now });
        self
    }
    /// Commits need to be on `n` disks at least.
    pub fn committing_on(mut self, n: usize) -> Self {
        self.disks = n;
        self
    }
    pub(crate) fn seeds(&mut self, seeds: Vec<Name>) {
        self.discovery.iter_mut().for_each(|s| s.way.seeds = seeds.clone());
    }
    /// True while it looks for its place from outside the view.
    pub(crate) fn outside_view(&self) -> bool {
        self.discovery.is_some() && !self.view.is_voter(&self.me)
    }
    /// Where one outside the view said that it is; a seed is named by its address.
    pub(crate) fn candidate_addr(&self, name: &str) -> Option<Name> {
        let s = self.discovery.as_ref()?;
        let candidates = s.candidates.get(name).map(|m| m.0.clone());
        candidates.or_else(|| s.way.seeds.iter().find(|a| *a == name).cloned())
    }

    pub(crate) fn discover(&mut self) {
        let now = self.now;
        let outside_view = self.outside_view();
        let Some(s) = self.discovery.as_mut() else { return };
        if now > s.ticked + STILL {
            s.undisturbed_since = now;
        }
        s.ticked = now;
        if !outside_view || now < s.asked + SEEK_GAP {
            return;
        }
        s.asked = now;
        s.round += 1;
        let at = s.way.at.clone();
        // The machines of the view it knows and the seeds take turns: either list may be out of date.
        let known: Vec<Name> = self.view.machines.iter().map(|m| m.name.clone()).collect();
        let to = if known.is_empty() || s.round.is_multiple_of(2) { s.way.seeds.clone() } else { known };
        for t in to.iter().filter(|t| **t != at) {
            self.send(t, PeerMessage::Discover { at: at.clone() });
        }
    }

    pub(crate) fn on_discover(&mut self, from: &Name, at: Name) {
        let now = self.now;
        let Some(s) = self.discovery.as_mut() else { return };
        s.candidates.retain(|_, m| m.1 + FRESH >= now);
        if s.candidates.len() < MET {
            s.candidates.insert(from.clone(), (at, now));
        }
        if self.view.version > 0 {
            let view = self.view.clone();
            self.send(from, PeerMessage::CurrentView { view });
        }
    }

    /// One that was left out while it was away beats by a view of old and hears of none: it is told.
    pub(crate) fn inform_outsider(&mut self, from: &Name, theirs: &View) {
        if theirs.version < self.view.version
            && !self.view.is_voter(from)
            && let Some(at) = theirs.addr(from).cloned()
        {
            self.on_discover(from, at);
        }
    }

    /// A machine that is lost gives its place to one outside: at once where that one has its address, for then the
    /// disk behind the old name is gone; otherwise once it was silent for long. One at a time, and only by a member
    /// of a mended chain; a majority of the old and of the new set must take it (§5.3).
    pub(crate) fn replace_voter(&mut self) {
        let now = self.now;
        let Some(s) = self.discovery.as_ref() else { return };
        let rank = self.view.members.iter().position(|m| *m == self.me).unwrap_or(0) as u64;
        if now < self.proposed + PROPOSE_GAP * (2 + rank) || now < s.undisturbed_since + SILENT {
            return;
        }
        let silent = |m: &Machine| {
            now.saturating_sub(self.heard.get(&m.name).copied().unwrap_or(0).max(s.undisturbed_since))
        };
        let lost = |m: &&Machine, ms: Ms| !self.view.has(&m.name) && silent(m) >= ms + rank * PROPOSE_GAP;
        let outside = || {
            s.candidates
                .iter()
                .filter(|(n, m)| m.1 + FRESH >= now && !self.view.is_voter(n))
                .map(|(n, m)| (n, &m.0))
        };
        let machines = &self.view.machines;
        let wiped = outside().find_map(|(n, at)| {
            machines.iter().find(|m| m.addr == *at && lost(m, SILENT)).map(|m| (m, n, at))
        });
        let spare = || {
            let old = machines.iter().find(|m| lost(m, s.way.give_up))?;
            outside().next().map(|(n, at)| (old, n, at))
        };
        let mut want = View { version: self.view.version + 1, ..self.view.clone() };
        let why = if let Some((old, name, addr)) = wiped.or_else(spare) {
            let new = Machine { name: name.clone(), addr: addr.clone() };
            want.machines.iter_mut().filter(|m| m.name == old.name).for_each(|m| *m = new.clone());
            format!("{name} takes the place of {}", old.name)
        } else if let Some((name, addr)) = self.next_voter() {
            want.machines.push(Machine { name: name.clone(), addr });
            format!("{name} comes to {} machines", machines.len())
        } else {
            return;
        };
        self.out.push(crate::keeper::Output::Say(why));
        self.propose(want);
    }

    /// One outside that makes the chain as long as it is to be: once all of its machines are in it, so that whoever
    /// came last holds everything before the next one does.
    fn next_voter(&self) -> Option<(Name, Name)> {
        let (s, v) = (self.discovery.as_ref()?, &self.view);
        let whole = v.machines.iter().all(|m| v.has(&m.name));
        let outside = |(n, m): &(&Name, &(Name, Ms))| {
            m.1 + FRESH >= self.now && !v.is_voter(n) && !v.machines.iter().any(|x| x.addr == m.0)
        };
        let next = s.candidates.iter().find(outside).filter(|_| whole && v.machines.len() < s.way.machines);
        next.map(|(n, m)| (n.clone(), m.0.clone()))
    }
}
