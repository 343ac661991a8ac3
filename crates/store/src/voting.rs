//! A keeper as acceptor and proposer of views (§5.3).
use crate::keeper::{Keeper, Output, Record};
use crate::messages::{PeerMessage, View};
use crate::register::ProposerAction;
use quincehatch_core::Name;

impl Keeper {
    /// Answers a proposer whose base is known here by now.
    pub(crate) fn handle_proposal(&mut self, proposer: &Name, message: &PeerMessage) {
        let Some((answer, changed)) = self.acceptor.step(self.view.version, message) else { return };
        if changed {
            self.outputs.push(Output::Persist(Record::Acceptor { acceptor: self.acceptor.clone() }));
        }
        self.send(proposer, answer);
    }

    /// A proposal of this keeper's is decided: those that vote hear it by heartbeat, those that no longer do are told.
    fn announce_decided_view(&mut self, view: View, base: &View) {
        self.outputs.push(Output::Log(format!(
            "view {} is agreed: {}",
            view.version,
            view.members.join(" ")
        )));
        self.adopt_view(view.clone());
        self.send_heartbeat();
        for machine in base.voters.iter().filter(|m| !view.is_voter(&m.name)) {
            self.send(&machine.name, PeerMessage::CurrentView { view: view.clone() });
        }
    }

    /// Carries out what the proposer of this keeper wants done.
    pub(crate) fn perform(&mut self, actions: Vec<ProposerAction>) {
        for action in actions {
            match action {
                ProposerAction::Send(to, m) => self.send(&to, m),
                ProposerAction::Decided { view, base } => self.announce_decided_view(view, &base),
            }
        }
    }
}
