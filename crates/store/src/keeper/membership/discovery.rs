//! Discovery: keepers find one another through seed addresses, without a complete list of all keepers.
use crate::keeper::Keeper;
use crate::messages::PeerMessage;
use crate::view::View;
use quincehatch_core::Name;

impl Keeper {
    /// Returns the address of a keeper. The address of a voter in an accepted view is available before that view is
    /// decided.
    pub fn addr(&self, name: &str) -> Option<Name> {
        let in_view = self.view.addr(name).cloned();
        let accepted_view = self.acceptor.accepted.as_ref().map(|accepted| &accepted.view);
        let in_accepted_view = || accepted_view?.addr(name).cloned();
        let discovered = || self.discovery.as_ref()?.addr(name);
        let in_previous_view = || self.previous_view.as_ref()?.addr(name).cloned();
        in_view.or_else(in_accepted_view).or_else(discovered).or_else(in_previous_view)
    }

    /// Replaces the addresses at which other keepers may be reached.
    pub(in crate::keeper) fn set_seeds(&mut self, seeds: Vec<Name>) {
        if let Some(discovery) = &mut self.discovery {
            discovery.settings.seeds = seeds;
        }
    }

    /// Returns whether this keeper takes part in discovery and is not a voter of the current view.
    pub(in crate::keeper) fn is_outside_view(&self) -> bool {
        self.discovery.is_some() && !self.is_voter()
    }

    /// Announces this keeper to other keepers if it is outside the view and is not shutting down.
    pub(in crate::keeper) fn run_discovery(&mut self) {
        let (now, is_outside_view) = (self.now, self.is_outside_view());
        let Some(discovery) = &mut self.discovery else { return };
        discovery.record_tick(now);
        if !is_outside_view || self.leaving.is_some() || !discovery.is_announcement_due(now) {
            return;
        }
        let receivers = discovery.begin_announcement(now, &self.view.voters);
        let at = discovery.settings.own_addr.clone();
        for receiver in receivers {
            self.send(&receiver, PeerMessage::Discover { at: at.clone() });
        }
    }

    /// Handles the announcement of a keeper outside the view.
    pub(in crate::keeper) fn handle_discover(&mut self, from: &Name, at: Name) {
        self.record_and_inform_candidate(from, at, true);
    }

    /// Sends the current view to a keeper that was removed from it while it was unreachable. Such a keeper sends
    /// heartbeats of an old view and receives none of the current view, which go to voters only.
    pub(in crate::keeper) fn inform_outdated_peer(&mut self, from: &Name, known_view: &View) {
        let is_outdated = known_view.version < self.view.version;
        if !is_outdated || self.view.is_voter(from) {
            return;
        }
        if let Some(addr) = known_view.addr(from).cloned() {
            self.record_and_inform_candidate(from, addr, false);
        }
    }

    /// Records a keeper outside the view, and sends it the current view so that it can join.
    fn record_and_inform_candidate(&mut self, name: &Name, addr: Name, wants_to_join: bool) {
        let Some(discovery) = &mut self.discovery else { return };
        discovery.record_candidate(self.now, name, addr, wants_to_join);
        if self.view.version > 0 {
            let view = self.view.clone();
            self.send(name, PeerMessage::CurrentView { view });
        }
    }
}
