//! What a simulated node hears: letters, beats, STATUS (§6, §4.8).
use super::node::{NodeProc, Pend};
use super::server::{SrvCall, SrvRep};
use super::world::{Msg, Pid, World};
use qh_core::{Beat, Ms, Name, Role, State};
use qh_mesh::Letter;
use qh_mesh::member::Out as MeshOut;
use qh_state::terms::safe;
use qh_state::{Ask, Rep};

impl NodeProc {
    pub(super) fn rep(&mut self, w: &mut World, me: Pid, now: Ms, p: Pend, rep: Rep) {
        if let (Pend::Duty { what }, Rep::Elsewhere { .. } | Rep::Declined { .. }) = (&p, &rep) {
            self.duty_reply(now, what.clone(), None);
        }
        match (p, rep) {
            (_, Rep::Elsewhere { view }) => self.learn(view),
            (Pend::Feed { asked }, Rep::Changes { entries, lease_ms }) => {
                if entries.iter().all(|e| self.store.apply(e).is_some()) {
                    self.applied(w, asked + safe(lease_ms), now);
                }
            }
            (Pend::Feed { asked }, Rep::Whole { store, lease_ms }) => {
                if store.n >= self.store.n {
                    self.store = *store;
                    self.applied(w, asked + safe(lease_ms), now);
                }
            }
            (Pend::Duty { what }, Rep::Answer { answer, .. }) => self.duty_answer(now, what, answer),
            (Pend::Push { key }, Rep::Answer { n, answer }) => w.hist.pushed(w.now, key, n, answer),
            (Pend::View, Rep::Status { status }) => self.learn(status.view),
            _ => {}
        }
        let _ = me;
    }
    pub(super) fn applied(&mut self, w: &mut World, until: Ms, now: Ms) {
        let lead = self.store.leads.get(super::node_duty::GROUP).and_then(|l| l.server.clone());
        if lead != self.led {
            self.seen.clear();
            if let Some(r) = lead.as_ref().and_then(|s| self.rows.get_mut(s)) {
                r.health.named(now);
            }
            self.led = lead;
        }
        self.lease_until = self.lease_until.max(until);
        let (e, n) = (self.store.edition(), self.store.n);
        w.hist.applied(w.now, &self.name, self.life, e, n);
    }

    pub(super) fn broke(&mut self, w: &mut World, me: Pid, now: Ms, p: Pend, declined: bool) {
        match p {
            Pend::Feed { .. } | Pend::View => {
                let k = self.any_keeper();
                self.ask(w, me, &k, now + 400, Pend::View, |r| Msg::Ask(r, Ask::Status));
            }
            Pend::Status { server, asked } => self.status_failed(now, &server, asked, declined),
            Pend::Visit { id } => self.visit_reply(w, me, now, id, None),
            Pend::Duty { what } => self.duty_reply(now, what, None),
            Pend::Sees | Pend::Push { .. } => {}
        }
    }

    pub(super) fn letter(&mut self, w: &mut World, me: Pid, now: Ms, l: Letter) {
        let outs = self.mesh.take(now, l);
        self.mesh_out(w, me, outs);
    }
    pub(super) fn mesh_out(&mut self, w: &mut World, me: Pid, outs: Vec<MeshOut>) {
        for o in outs {
            match o {
                MeshOut::Send(to, l) => w.send_name(me, &to, Msg::Letter(l)),
                MeshOut::Beats(bs) => bs.into_iter().for_each(|b| self.beat(b)),
                MeshOut::Turned(..) => {}
            }
        }
    }
    pub(super) fn beat(&mut self, b: Beat) {
        let r = self.rows.entry(b.server.clone()).or_default();
        if b.edition() > r.beat.edition() {
            r.beat = b.clone();
            self.mesh.spread(b);
        }
    }

    pub(super) fn status(&mut self, now: Ms, server: &Name, asked: Ms, r: SrvRep) {
        let Some(b) = r.beat else { return };
        let group = Name::from(b.group());
        let lead = self.store.leads.get(&group);
        let leads = lead.is_some_and(|l| l.server.as_ref() == Some(server) && l.fence == r.stamp.fence);
        if leads && r.stamp.role == Role::Primary && b.state != State::Starting {
            self.seen.entry(group.clone()).or_default().note(asked, r.stamp.position);
        }
        let needed = self.seen.entry(group).or_default().needed(now, 1_500);
        let row = self.rows.entry(server.clone()).or_default();
        (row.answered, row.failing, row.declined) = (now, None, false);
        if needed.is_some_and(|p| r.stamp.position >= p) {
            row.health.status_good(now);
        }
        self.beat(b);
    }
    pub(super) fn status_failed(&mut self, _now: Ms, server: &Name, asked: Ms, declined: bool) {
        let row = self.rows.entry(server.clone()).or_default();
        row.failing = row.failing.or(Some(asked));
        row.declined = declined;
    }

    /// Servers that have not heard of the fence in force are told.
    pub(super) fn stragglers(&mut self, w: &mut World, me: Pid, now: Ms) {
        let Some(lead) = self.duty.lead.clone().filter(|l| l.server.is_some()) else { return };
        if now < self.duty.fenced + 1_000 {
            return;
        }
        self.duty.fenced = now;
        let low: Vec<Name> = self
            .rows
            .iter()
            .filter(|(n, r)| {
                r.beat.fence < lead.fence && r.failing.is_none() && Some(*n) != lead.server.as_ref()
            })
            .map(|(n, _)| n.clone())
            .collect();
        for n in low {
            let fence = lead.fence;
            self.ask(w, me, &n, now + 500, Pend::Sees, |r| Msg::Call(r, SrvCall::Fence(fence)));
        }
    }
}
