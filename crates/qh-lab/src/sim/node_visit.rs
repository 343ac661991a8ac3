//! Visits of a simulated node, by the rules of §4.6 and §4.8.
use super::facts::{Told, Want};
use super::node::{NodeProc, Pend};
use super::node_duty::GROUP;
use super::server::{SrvCall, SrvRep};
use super::world::{Msg, Pid, World};
use qh_core::{Fence, Ms, Name, Role};
use serde_json::Value;

/// One visit in hand.
#[derive(Clone, Debug)]
pub struct Visit {
    pub id: u64,
    pub want: Want,
    pub until: Ms,
    /// The order was sent to some server: from then on only an outcome tells.
    sent: bool,
    server: Name,
    fence: Fence,
    asking: bool,
    next: Ms,
    since: Ms,
    tried: Vec<Name>,
}

impl NodeProc {
    fn lead(&self) -> Option<(Name, Fence)> {
        let l = self.store.leads.get(GROUP)?;
        l.server.clone().map(|s| (s, l.fence))
    }

    pub fn visit(&mut self, w: &mut World, me: Pid, now: Ms, id: u64, want: Want, ms: Ms) {
        if !self.has_lease(w, now) || self.store.edition() == 0 {
            return w.hist.told(w.now, id, Told::Nothing);
        }
        w.hist.visited(id, w.now, &self.name, self.life_no(), self.store.edition());
        let sent = matches!(want, Want::Ask { .. });
        let v = Visit {
            id,
            want,
            until: now + ms,
            sent,
            server: Name::default(),
            fence: 0,
            asking: false,
            next: now,
            since: now,
            tried: vec![],
        };
        self.visits.insert(id, v);
        self.go(w, me, now, id);
    }

    fn end(&mut self, w: &mut World, id: u64, t: Told) {
        self.visits.remove(&id);
        w.hist.told(w.now, id, t);
    }

    /// Asks whoever is to be asked next.
    fn go(&mut self, w: &mut World, me: Pid, now: Ms, id: u64) {
        let Some(mut v) = self.visits.get(&id).cloned().filter(|v| !v.asking && now >= v.next) else {
            return;
        };
        let (to, call) = match &v.want {
            Want::Lookup { list } => {
                let Some(s) = self.replica(&v.tried, now) else { return self.end(w, id, Told::Nothing) };
                (s, SrvCall::Read { list: list.clone() })
            }
            want => {
                let Some((s, f)) = self.lead() else {
                    // A visit that was never sent is given up at once; one in doubt asks on (§4.6).
                    if !v.sent {
                        return self.end(w, id, Told::Nothing);
                    }
                    if let Some(v) = self.visits.get_mut(&id) {
                        v.next = now + 50;
                    }
                    return;
                };
                v.fence = f;
                let call = match want {
                    Want::Order { key, list } if !v.sent => {
                        SrvCall::Order { key: key.clone(), sum: "7".into(), fence: f, list: list.clone() }
                    }
                    Want::Order { key, .. } | Want::Ask { key } => {
                        SrvCall::Outcome { key: key.clone(), seal: true, fence: f }
                    }
                    Want::SideRead { list } | Want::Lookup { list } => SrvCall::Read { list: list.clone() },
                };
                (s, call)
            }
        };
        v.server = to.clone();
        v.asking = true;
        v.since = now;
        v.sent |= matches!(v.want, Want::Order { .. });
        v.tried.push(to.clone());
        let (until, want) = (v.until, v.want.clone());
        let most = if matches!(want, Want::Lookup { .. }) { until.min(now + 1_000) } else { until };
        self.visits.insert(id, v);
        if let Some(r) = self.rows.get_mut(&to) {
            r.health.overdue.sent(now, id, 1_000, 30_000, false);
        }
        self.ask(w, me, &to, most, Pend::Visit { id }, |r| Msg::Call(r, call));
    }

    fn replica(&self, tried: &[Name], _now: Ms) -> Option<Name> {
        let lead = self.lead().map(|l| l.0);
        let ok = |n: &Name| !tried.contains(n);
        let good =
            |(n, r): &(&Name, &super::node::Row)| Some(*n) != lead.as_ref() && r.health.may_serve() && ok(n);
        let near = self
            .rows
            .iter()
            .filter(good)
            .min_by_key(|(n, r)| (r.beat.district() != self.district, (*n).clone()));
        near.map(|(n, _)| n.clone()).or_else(|| lead.filter(ok))
    }

    /// A reply, or the link's end.
    pub fn visit_reply(&mut self, w: &mut World, me: Pid, now: Ms, id: u64, r: Option<SrvRep>) {
        let j = self.judges.clone();
        let Some(v) = self.visits.get_mut(&id) else {
            // Given up before: a late reply is dropped, but a sign of life.
            if r.is_some() {
                for x in self.rows.values_mut() {
                    x.health.overdue.answered(now, id);
                }
            }
            return;
        };
        v.asking = false;
        let v = v.clone();
        if let Some(row) = self.rows.get_mut(&v.server) {
            match &r {
                Some(_) => row.health.good(now, &j, id),
                None => {
                    row.health.no_matter(id);
                    row.health.ended(now, &j, qh_data::judge::Ending::Reset);
                }
            }
        }
        let Some(r) = r else {
            return match v.want {
                Want::SideRead { .. } => self.end(w, id, Told::Nothing),
                Want::Order { ref key, .. } if w.has_bug("resend") => {
                    let _ = key;
                    if let Some(x) = self.visits.get_mut(&id) {
                        x.sent = false;
                    }
                    self.go(w, me, now, id)
                }
                _ => self.go(w, me, now, id),
            };
        };
        let lease = self.has_lease(w, now);
        match &v.want {
            Want::Lookup { .. } => self.lookup_reply(w, me, now, &v, r, lease),
            Want::SideRead { .. } => {
                let led = self.lead() == Some((v.server.clone(), v.fence)) && r.stamp.fence == v.fence;
                let rows = r.rows.filter(|_| lease && led || w.has_bug("no-lease"));
                self.end(w, id, rows.map_or(Told::Nothing, Told::Rows));
            }
            Want::Order { .. } | Want::Ask { .. } => self.order_reply(w, now, &v, r, lease),
        }
    }

    fn lookup_reply(&mut self, w: &mut World, me: Pid, now: Ms, v: &Visit, r: SrvRep, lease: bool) {
        let lead = self.lead();
        let fresh = if lead.as_ref().is_some_and(|l| l.0 == v.server) {
            let late = now > v.since + 1_500 - qh_data::fresh::MARGIN;
            !late && r.stamp.role == Role::Primary && lead.is_some_and(|l| l.1 == r.stamp.fence)
        } else {
            let seen = self.seen.entry(GROUP.into()).or_default();
            seen.needed(now, 1_500).is_some_and(|p| r.stamp.position >= p) || w.has_bug("stale-lookup")
        };
        match r.rows.filter(|_| lease && fresh) {
            Some(rows) => self.end(w, v.id, Told::Rows(rows)),
            None => self.go(w, me, now, v.id),
        }
    }

    fn order_reply(&mut self, w: &mut World, now: Ms, v: &Visit, r: SrvRep, lease: bool) {
        let stamped = r.stamp.fence == v.fence && r.stamp.role == Role::Primary && r.stamp.server == v.server;
        let asked = r.outcome.is_some();
        let told = match (r.error, r.outcome) {
            (Some("try-sealed"), _) => Some(Told::Sealed),
            (Some("in-doubt"), _) => None,
            (Some("fence-low" | "not-primary"), _)
                if matches!(v.want, Want::Order { .. }) && !self.asked_outcome(v) =>
            {
                Some(Told::Nothing)
            }
            (Some(_), _) => None,
            (None, Some("sealed")) if stamped && lease => Some(Told::Sealed),
            (None, Some("kept")) if stamped && lease => Some(Told::Kept),
            (None, None) if stamped && lease && !asked => Some(Told::Kept),
            (None, None) if stamped => Some(Told::Unknown),
            _ => None,
        };
        // An outcome proves nothing of what else is visible: only a commit of its own does (§4.8).
        if told == Some(Told::Kept)
            && !asked
            && let Some(s) = self.seen.get_mut(GROUP)
        {
            s.note(v.until.saturating_sub(1_000), r.stamp.position);
        }
        match told {
            Some(t) => self.end(w, v.id, t),
            None => {
                if let Some(x) = self.visits.get_mut(&v.id) {
                    x.next = now + 50;
                }
            }
        }
    }
    /// Was the outcome asked already, so that a decline says nothing of the order itself?
    fn asked_outcome(&self, v: &Visit) -> bool {
        v.tried.len() > 1
    }

    /// The time kept for one asking is over.
    pub fn visit_silent(&mut self, _w: &mut World, now: Ms, id: u64) {
        if let Some(v) = self.visits.get_mut(&id) {
            v.asking = false;
            v.next = now;
        }
    }

    pub fn visits_tick(&mut self, w: &mut World, me: Pid, now: Ms) {
        for (id, v) in self.visits.clone() {
            if now >= v.until {
                let doubt = v.sent && matches!(v.want, Want::Order { .. } | Want::Ask { .. });
                self.end(w, id, if doubt { Told::Unknown } else { Told::Nothing });
            } else {
                self.go(w, me, now, id);
            }
        }
    }
    pub fn life_no(&self) -> u64 {
        self.rid >> 40
    }
    /// The rows of a list as keys.
    pub fn keys(v: &Value) -> Vec<String> {
        v.as_array().into_iter().flatten().filter_map(|k| k.as_str().map(str::to_owned)).collect()
    }
}
