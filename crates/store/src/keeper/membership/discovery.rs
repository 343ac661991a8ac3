//! How keepers find one another without a list of all of them.
use crate::keeper::Keeper;
use crate::messages::PeerMessage;
use crate::view::View;
use quincehatch_core::Name;

impl Keeper {
    /// Where a keeper is reached. A voter of an accepted view is known before that view is decided.
    pub fn addr(&self, name: &str) -> Option<Name> {
        let in_view = self.view.addr(name).cloned();
        let accepted_view = self.acceptor.accepted.as_ref().map(|accepted| &accepted.view);
        let in_accepted_view = || accepted_view?.addr(name).cloned();
        let discovered = || self.discovery.as_ref()?.addr(name);
        let in_previous_view = || self.previous_view.as_ref()?.addr(name).cloned();
        in_view.or_else(in_accepted_view).or_else(discovered).or_else(in_previous_view)
    }

    /// Replaces the addresses at which other keepers may be found.
    pub(in crate::keeper) fn set_seeds(&mut self, seeds: Vec<Name>) {
        if let Some(discovery) = &mut self.discovery {
            discovery.settings.seeds = seeds;
        }
    }

    /// Does this keeper look for a place from outside the view?
    pub(in crate::keeper) fn is_outside_view(&self) -> bool {
        self.discovery.is_some() && !self.is_voter()
    }

    /// Announces this keeper to others, if it is outside the view and not about to end.
    pub(in crate::keeper) fn run_discovery(&mut self) {
        let (now, is_outside_view) = (self.now, self.is_outside_view());
        let Some(discovery) = &mut self.discovery else { return };
        discovery.record_tick(now);
        if !is_outside_view || self.leaving.is_some() || !discovery.is_announcement_due(now) {
            return;
        }
        let receivers = discovery.begin_announcement(now, &self.view.voters);
        let at = discovery.settings.at.clone();
        for receiver in receivers {
            self.send(&receiver, PeerMessage::Discover { at: at.clone() });
        }
    }

    /// A keeper outside the view has announced itself.
    pub(in crate::keeper) fn handle_discover(&mut self, from: &Name, at: Name) {
        self.record_outsider(from, at, true);
    }

    /// A keeper that was removed from the view while it was away sends heartbeats of an old view, and no heartbeat of
    /// the present one reaches it: it is told.
    pub(in crate::keeper) fn inform_outdated_peer(&mut self, from: &Name, known_view: &View) {
        let is_outdated = known_view.version < self.view.version;
        if !is_outdated || self.view.is_voter(from) {
            return;
        }
        if let Some(addr) = known_view.addr(from).cloned() {
            self.record_outsider(from, addr, false);
        }
    }

    /// Takes note of a keeper outside the view, and tells it what the view is so that it can find a place.
    fn record_outsider(&mut self, name: &Name, addr: Name, wants_place: bool) {
        let Some(discovery) = &mut self.discovery else { return };
        discovery.record_candidate(self.now, name, addr, wants_place);
        if self.view.version > 0 {
            let view = self.view.clone();
            self.send(name, PeerMessage::CurrentView { view });
        }
    }
}
