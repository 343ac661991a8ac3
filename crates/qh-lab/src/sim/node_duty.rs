//! The promotion duty of a simulated node: [`need`] and [`Promotion`] are the daemons' own (§5.5).
use super::node::{NodeProc, Pend};
use super::server::{SrvCall, SrvRep};
use super::world::{Msg, Pid, World};
use qh_control::promotion::{In, Out, Phase, Plan, Promotion};
use qh_control::watch::{Count, Eye, Need, Sight, dead, need};
use qh_core::{Code, Lead, Ms, Name, Role};
use qh_mesh::duty::owner;
use qh_state::store::duty_of;
use qh_state::{Answer, Ask, Cmd};
use std::collections::BTreeSet;

pub const GROUP: &str = "g1";

#[derive(Default)]
pub struct Duty {
    pub run: Option<Promotion>,
    going: BTreeSet<String>,
    inbox: Vec<In>,
    pub(super) lead: Option<Lead>,
    since: Ms,
    wrong: Option<Ms>,
    rest: Ms,
    asked_others: Option<Ms>,
    count: Count,
    dead: bool,
    pub suspect: Option<(Name, Ms, Ms)>,
    told: Ms,
    tries: u64,
    pub(super) fenced: Ms,
}

impl Duty {
    pub fn seen(&mut self, e: Eye) {
        self.count.add(self.dead, e);
    }
}

impl NodeProc {
    pub fn eye(&self, server: &str, now: Ms) -> Eye {
        self.rows.get(server).map_or_else(Eye::default, |r| Eye {
            heard: true,
            failing: r.failing.is_some(),
            stalled: r.health.stalled(now).is_some(),
            answering: r.health.overdue.answered_within(now, 2_000),
        })
    }
    /// Tells the duty's owner of a lead that stalls, as seen here.
    fn tell(&mut self, w: &mut World, me: Pid, now: Ms, owner: Option<&Name>) {
        let lead = self.duty.lead.as_ref().and_then(|l| l.server.clone());
        if let (Some(o), Some(server)) = (owner, lead)
            && now >= self.duty.told + 500
            && self.eye(&server, now).stalled
        {
            self.duty.told = now;
            w.send_name(me, o, Msg::Suspect(server));
        }
    }
    pub fn duty_reply(&mut self, _now: Ms, what: String, r: Option<SrvRep>) {
        self.duty.going.remove(&what);
        let Some((kind, server)) = what.split_once(' ') else { return };
        let Some(p) = &self.duty.run else { return };
        let server = Name::from(server);
        let i = match (kind, r) {
            ("fence", Some(r)) if r.error.is_some() => In::Overtaken,
            ("fence", Some(r)) if r.stamp.fence == p.fence => {
                r.beat.map_or(In::Tick, |b| In::Fenced(server, b.log_end))
            }
            ("promote", Some(r)) if r.error.is_some() => In::Overtaken,
            ("promote", Some(_)) => In::Promoted(server),
            ("promote", None) => In::NotPromoted(server),
            _ => In::Tick,
        };
        self.duty.inbox.push(i);
    }
    pub fn duty_answer(&mut self, _now: Ms, what: String, a: Answer) {
        self.duty.going.remove(&what);
        let i = match a {
            Answer::Fence(f) => In::Fence(f),
            Answer::Done if what.ends_with("/name") => In::Named,
            Answer::Done => In::Closed,
            Answer::Declined(b) if b.is(Code::FenceLow) => In::Overtaken,
            _ => In::Tick,
        };
        self.duty.inbox.push(i);
    }

    fn duty_outs(&mut self, w: &mut World, me: Pid, now: Ms, outs: Vec<Out>) {
        for o in outs {
            let what = match &o {
                Out::Say(s) => {
                    w.hist.say(w.now, &format!("{}: {s}", self.name));
                    continue;
                }
                Out::TakeFence { key } | Out::SetLead { key, .. } => key.to_string(),
                Out::FenceServer { server, .. } => format!("fence {server}"),
                Out::Promote { server, .. } => format!("promote {server}"),
            };
            if !self.duty.going.insert(what.clone()) {
                continue;
            }
            let p = Pend::Duty { what };
            let group = Name::from(GROUP);
            match o {
                Out::TakeFence { key } => {
                    let cmd = Cmd::TakeFence { duty: duty_of(GROUP), by: self.name.clone() };
                    let to = self.head();
                    self.ask(w, me, &to, now + 600, p, |r| Msg::Ask(r, Ask::Write { key, cmd }));
                }
                Out::SetLead { key, lead } => {
                    let cmd = Cmd::SetLead { group, lead };
                    let to = self.head();
                    self.ask(w, me, &to, now + 5_000, p, |r| Msg::Ask(r, Ask::Write { key, cmd }));
                }
                // The bug: a server's beat is taken for its word that it declines lower fences.
                Out::FenceServer { server, .. } if w.has_bug("unfenced") => {
                    let end = self.rows.get(&server).map(|r| r.beat.log_end).unwrap_or_default();
                    self.duty.inbox.push(In::Fenced(server, end));
                }
                Out::FenceServer { server, fence } => {
                    self.ask(w, me, &server, now + 900, p, |r| Msg::Call(r, SrvCall::Fence(fence)));
                }
                Out::Promote { server, fence } => {
                    let node = self.name.clone();
                    let m = |rid| Msg::Promote { rid, group, server, fence, node };
                    self.ask(w, me, "platform", now + 900, p, m);
                }
                Out::Say(_) => {}
            }
        }
    }

    pub fn duty_tick(&mut self, w: &mut World, me: Pid, now: Ms) {
        if let Some(mut p) = self.duty.run.take() {
            let mut ins = std::mem::take(&mut self.duty.inbox);
            ins.push(In::Tick);
            for i in ins {
                let outs = p.step(now, i);
                self.duty_outs(w, me, now, outs);
            }
            if p.over() {
                w.hist.promotions += usize::from(p.phase == Phase::Done);
                self.duty.rest = now + 3_000;
                self.duty.going.clear();
            } else {
                self.duty.run = Some(p);
            }
            return;
        }
        self.duty.inbox.clear();
        if !self.has_lease(w, now) {
            return;
        }
        let live: Vec<Name> = self.mesh.live().into_iter().map(|(n, _)| n).collect();
        let lead = self.store.leads.get(GROUP).cloned();
        if self.duty.lead != lead || self.duty.since == 0 {
            (self.duty.lead, self.duty.since) = (lead, now);
        }
        let who = owner(&duty_of(GROUP), &live).cloned();
        if who.as_ref() != Some(&self.name) || now < self.duty.rest {
            self.duty.asked_others = None;
            return self.tell(w, me, now, who.as_ref().filter(|o| **o != self.name));
        }
        let s = self.sight(now);
        self.stragglers(w, me, now);
        match need(&s) {
            Need::Nothing => self.duty.asked_others = None,
            Need::Now { planned } => self.begin(w, me, now, &s, planned),
            Need::Confirm => self.confirm(w, me, now, &s, &live),
        }
    }

    /// The others are asked what they see, and counted a little later.
    fn confirm(&mut self, w: &mut World, me: Pid, now: Ms, s: &Sight, live: &[Name]) {
        match self.duty.asked_others {
            None => {
                let Some(server) = s.lead.as_ref().and_then(|l| l.server.clone()) else { return };
                self.duty.dead = dead(s);
                self.duty.count = Count::begin(self.duty.dead, self.eye(&server, now), live.len() - 1);
                self.duty.asked_others = Some(now);
                let me_name = self.name.clone();
                for n in live.iter().filter(|n| **n != me_name) {
                    let server = server.clone();
                    self.ask(w, me, n, now + 500, Pend::Sees, |r| Msg::Sees(r, server));
                }
            }
            Some(at) if now >= at + 500 => {
                self.duty.asked_others = None;
                if self.duty.count.confirmed() {
                    self.begin(w, me, now, s, false);
                }
            }
            Some(_) => {}
        }
    }

    fn begin(&mut self, w: &mut World, me: Pid, now: Ms, s: &Sight, planned: bool) {
        self.duty.asked_others = None;
        self.duty.tries += 1;
        let old = s.lead.as_ref().and_then(|l| l.server.clone().or_else(|| l.closed.clone()));
        let plan = Plan {
            group: GROUP.into(),
            by: self.name.clone(),
            attempt: format!("{}/{}/{}", self.name, self.rid, self.duty.tries).into(),
            old,
            servers: s.servers.clone(),
            copies: 3,
            planned,
            want: None,
        };
        let (p, outs) = Promotion::new(now, plan);
        self.duty.run = Some(p);
        self.duty_outs(w, me, now, outs);
    }

    fn sight(&mut self, now: Ms) -> Sight {
        let mut s = Sight {
            lead: self.duty.lead.clone(),
            lead_for: now.saturating_sub(self.duty.since),
            servers: self.rows.keys().cloned().collect(),
            copies: 3,
            ..Default::default()
        };
        let named = s.lead.as_ref().and_then(|l| l.server.clone().map(|n| (n, l.fence)));
        if let Some((r, fence)) = named.and_then(|(n, f)| self.rows.get(&n).map(|r| (r, f))) {
            s.failing = r.failing.map(|at| now.saturating_sub(at));
            s.declined = r.declined;
            let told =
                self.duty.suspect.as_ref().filter(|(s, _, last)| *s == r.beat.server && now < last + 1_200);
            s.stalled = told.map(|(_, first, _)| now - first).max(r.health.stalled(now));
            let leads = r.beat.role == Role::Primary && r.beat.fence == fence;
            let wrong = !leads && r.failing.is_none() && r.answered > 0;
            self.duty.wrong = if wrong { self.duty.wrong.or(Some(now)) } else { None };
            s.wrong = self.duty.wrong.map(|at| now.saturating_sub(at));
        }
        s
    }
}
