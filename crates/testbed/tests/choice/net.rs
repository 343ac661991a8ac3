//! A small model of one group: the shipped code of the chain's store, of promotions and of the servers' logs, and every
//! action that the network and the processes may take next (§5.5).
mod act;
mod look;

pub use act::{Act, Size};
use quincehatch_core::{FencingToken, Name, Position, PrimaryAssignment, Role};
use quincehatch_failover::promotion::{Phase, Promotion, PromotionAction, PromotionEvent, PromotionPlan};
use quincehatch_runtime::seam;
use quincehatch_store::store::promotion_role_key;
use quincehatch_store::{Answer, Command, Entry, Store};
use quincehatch_testbed::database::{Database, PullRequest, PullResponse};
use serde_json::Value;
use std::sync::Arc;

#[derive(Clone)]
struct At {
    p: Promotion,
    /// The action that the promotion waits for: the write of the primary to the chain, or a server's promotion.
    asks: Option<PromotionAction>,
    heard: Vec<(usize, Position)>,
}

type Asked = (usize, PullRequest, Option<PullResponse>);

/// A state of the model. Each part is shared with the preceding state until it changes.
#[derive(Clone)]
pub struct Net {
    store: Arc<Store>,
    dbs: Vec<Arc<Database>>,
    /// The voters that each server received with its promotion.
    counts: Vec<Arc<Vec<Name>>>,
    /// The pull of each replica with the primary that it was sent to, and the response.
    wire: Vec<Option<Arc<Asked>>>,
    all: Vec<Arc<At>>,
    /// Primaries that were written to the chain; nodes may still have orders in flight to them.
    named: Vec<(FencingToken, usize)>,
    orders: usize,
}

fn names(letters: &str) -> Vec<Name> {
    letters.chars().map(|c| c.to_string().into()).collect()
}
fn set_lead(lead: PrimaryAssignment) -> Command {
    Command::AssignPrimary { group: "g".into(), primary: lead }
}

impl Net {
    pub fn new(z: Size) -> Net {
        let mut n = Net {
            store: Arc::default(),
            dbs: "abcd".chars().take(z.servers).map(|c| Arc::new(Database::new(&c.to_string()))).collect(),
            counts: (0..z.servers).map(|_| Arc::new(names("abc"))).collect(),
            wire: vec![None; z.servers],
            all: vec![],
            named: vec![(1, 0)],
            orders: 0,
        };
        n.write(Command::AcquireFence { duty: promotion_role_key("g"), by: "n".into() });
        n.write(set_lead(PrimaryAssignment {
            fence: 1,
            server: Some("a".into()),
            voters: names("abc"),
            ..Default::default()
        }));
        n.db(0).promote(1, names("abc"));
        n
    }
    fn write(&mut self, cmd: Command) -> Option<Answer> {
        let store = Arc::make_mut(&mut self.store);
        let at = store.last_change + 1;
        let got = store.apply(&Entry { number: at, key: format!("{at}").into(), command: cmd });
        store.answers.clear();
        got.filter(|a| !matches!(a, Answer::Rejected(_)))
    }
    fn db(&mut self, s: usize) -> &mut Database {
        Arc::make_mut(&mut self.dbs[s])
    }
    fn at(&mut self, i: usize) -> &mut At {
        Arc::make_mut(&mut self.all[i])
    }
    fn step(&mut self, i: usize, x: PromotionEvent) -> Option<()> {
        let outs = self.at(i).p.step(1, x);
        let asks = outs.into_iter().rfind(|o| {
            matches!(o, PromotionAction::WritePrimary { .. } | PromotionAction::PromoteServer { .. })
        });
        let (Some(PromotionAction::WritePrimary { primary: lead, .. }), true) =
            (&asks, self.all[i].p.phase != Phase::Naming)
        else {
            let at = self.at(i);
            at.asks = asks.or(at.asks.take());
            return Some(());
        };
        match (self.write(set_lead(lead.clone()))?, self.all[i].p.phase) {
            (Answer::Primary(l), Phase::Closing) => self.step(i, PromotionEvent::PrimaryClosed(l)),
            _ => self.step(i, PromotionEvent::VotersRecorded),
        }
    }
    fn index(&self, n: &str) -> usize {
        self.dbs.iter().position(|d| d.name == n).unwrap_or(0)
    }

    /// Returns the actions that may come next; some of them turn out to be impossible.
    pub fn acts(&self, z: Size) -> Vec<Act> {
        let (mut out, n) = (vec![], self.dbs.len());
        if self.store.primaries["g"].previous_voters.iter().any(|l| !l.is_empty()) {
            out.push(Act::Settle);
        }
        if self.all.len() < z.promotions {
            out.extend((0..z.lists.len()).map(Act::Begin));
        }
        for (i, at) in self.all.iter().enumerate() {
            let At { p, asks, heard } = &**at;
            match asks {
                Some(PromotionAction::WritePrimary { .. }) => out.push(Act::Name(i)),
                Some(_) => out.push(Act::Promote(i)),
                None if p.phase == Phase::Fencing => {
                    let rest = (0..n).filter(|s| heard.iter().all(|h| h.0 != *s));
                    out.extend(rest.map(|s| Act::Fence(i, s)));
                }
                None => {}
            }
        }
        for r in (0..n).filter(|r| self.dbs[*r].role == Role::Replica || self.wire[*r].is_some()) {
            match self.wire[r].as_deref() {
                Some((_, _, None)) => out.push(Act::Give(r)),
                Some(_) => out.push(Act::Take(r)),
                None => out.extend(self.leading().map(|l| Act::Request(r, l))),
            }
        }
        if self.orders < z.orders {
            out.extend(self.leading().map(Act::Order));
        }
        out
    }
    fn leading(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.dbs.len()).filter(|l| self.dbs[*l].role == Role::Primary)
    }

    /// Returns the state after the action, or none if the action is impossible. A promotion whose reply is lost or
    /// rejected takes no further step.
    pub fn after(&self, z: Size, a: Act) -> Option<Net> {
        let mut n = self.clone();
        match a {
            Act::Begin(list) => {
                let by: Name = format!("n{}", n.all.len()).into();
                let Answer::Fence(f) =
                    n.write(Command::AcquireFence { duty: promotion_role_key("g"), by: by.clone() })?
                else {
                    return None;
                };
                let servers = n.dbs.iter().map(|d| d.name.clone()).collect();
                let plan = PromotionPlan {
                    group: "g".into(),
                    attempt: by.clone(),
                    coordinator: by,
                    primary: None,
                    expected_fence: f - 1,
                    old_primary: None,
                    servers,
                    server_count: 3,
                    planned: false,
                    earlier_calls: false,
                    preferred: None,
                    voters: names(z.lists[list]),
                    sync_group: None,
                };
                n.all.push(Arc::new(At { p: Promotion::new(1, plan).0, asks: None, heard: vec![] }));
                n.step(n.all.len() - 1, PromotionEvent::FenceAcquired(f))?;
            }
            Act::Fence(i, s) => {
                // The injected bug skips the call to the server, as in the node's own code.
                let f = n.all[i].p.fence;
                if !seam::injected_bug("unfenced") && !n.db(s).set_fence(f) {
                    return None;
                }
                let end = n.dbs[s].log_end();
                n.at(i).heard.push((s, end));
                n.at(i).heard.sort_unstable();
                n.step(i, PromotionEvent::ServerFenced(n.dbs[s].name.clone(), end))?;
            }
            Act::Promote(i) => {
                let Some(PromotionAction::PromoteServer { server, fence, voters }) = n.at(i).asks.take()
                else {
                    return None;
                };
                let s = n.index(&server);
                if !n.db(s).promote(fence, voters.clone()) {
                    return None;
                }
                n.counts[s] = Arc::new(voters);
                n.step(i, PromotionEvent::ServerPromoted(server))?;
            }
            Act::Name(i) => {
                let Some(PromotionAction::WritePrimary { primary: lead, .. }) = n.at(i).asks.take() else {
                    return None;
                };
                n.write(set_lead(lead.clone()))?;
                n.named.push((lead.fence, n.index(lead.server.as_ref()?)));
                n.step(i, PromotionEvent::PrimaryAnnounced)?;
            }
            Act::Request(r, l) => {
                let (server, fence, have) = (n.dbs[r].name.clone(), n.dbs[r].fence, n.dbs[r].log_end());
                n.wire[r] = Some(Arc::new((l, PullRequest { server, fence, have }, None)));
                return if z.late { Some(n) } else { n.after(z, Act::Give(r))?.after(z, Act::Take(r)) };
            }
            Act::Give(r) => {
                let (l, pull, _) = (*n.wire[r].take()?).clone();
                let got = n.db(l).serve_pull(&pull, 9);
                n.wire[r] = got.map(|g| Arc::new((l, pull, Some(g))));
            }
            Act::Take(r) => {
                let got = n.wire[r].take()?.2.clone()?;
                n.db(r).apply_pull(got);
            }
            Act::Order(s) => {
                n.named.contains(&(n.dbs[s].fence, s)).then_some(())?;
                n.orders += 1;
                n.db(s).add_commit("t", "x", vec![], Value::Null);
            }
            Act::Settle => {
                let l = n.store.primaries["g"].clone();
                let s = n.index(l.server.as_ref()?);
                if !n.dbs[s].is_primary_under(l.fence) || !n.dbs[s].is_readable() {
                    return None;
                }
                n.write(Command::DropPreviousVoters { group: "g".into(), fence: l.fence })?;
            }
        }
        let wrote = n.dbs.iter_mut().filter(|d| !d.unwritten.is_empty());
        wrote.for_each(|d| Arc::make_mut(d).unwritten.clear());
        Some(n)
    }
}
