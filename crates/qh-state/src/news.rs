//! What the tail tells nodes: of each entry that alone which they act on, and blueprints as what changed of the one
//! before (§5.10).
use crate::keeper::Keeper;
use crate::msgs::{Answer, Cmd, Entry, Leadership, Rep};
use crate::patch::{Packed, Patch};
use crate::store::{Store, duty_of, stand};
use crate::terms::LOG_KEEP;
use qh_core::{ChangeNo, Edition, Fence, Lead, Ms, Name, Standing, messages};
use std::collections::BTreeMap;

messages! {
    /// What one entry altered for nodes.
    #[derive(Eq)]
    pub enum News {
        /// Nothing that they act on.
        Other,
        Blueprint { edition: Edition, patch: Patch },
        Stand { at: Standing },
        Depart { server: Name },
        Lead { group: Name, lead: Lead },
        Fence { duty: Name, fence: Fence },
        /// A node is enrolled by that entry, or dismissed.
        Node { node: Name, enrolled: Option<ChangeNo> }
    }

    #[derive(Eq)]
    pub struct Change { pub n: ChangeNo, pub news: News }

    /// All that nodes act on, as of change `n`.
    #[derive(Eq, Default)]
    pub struct Told {
        pub n: ChangeNo, pub edition: Edition, pub text: Packed,
        pub leads: BTreeMap<Name, Lead>, pub servers: BTreeMap<Name, Standing>,
        pub nodes: BTreeMap<Name, ChangeNo>, pub fences: BTreeMap<Name, Fence>
    }
}

/// What a node knows of the chain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    pub n: ChangeNo,
    pub edition: Edition,
    /// The blueprint in force; empty before the first.
    pub text: String,
    pub leads: BTreeMap<Name, Lead>,
    pub servers: BTreeMap<Name, Standing>,
    pub nodes: BTreeMap<Name, ChangeNo>,
    /// The newest of each duty.
    pub fences: BTreeMap<Name, Fence>,
}

impl Known {
    /// Nothing if the text came hurt.
    pub fn of(t: Told) -> Option<Known> {
        let text = t.text.text()?;
        Some(Known {
            n: t.n,
            edition: t.edition,
            text,
            leads: t.leads,
            servers: t.servers,
            nodes: t.nodes,
            fences: t.fences,
        })
    }
    /// Takes the change if it is the next.
    pub fn apply(&mut self, c: &Change) -> bool {
        if c.n != self.n + 1 {
            return false;
        }
        match &c.news {
            News::Other => {}
            News::Blueprint { edition, patch } => {
                let Some(text) = patch.on(&self.text).filter(|_| *edition == self.edition + 1) else {
                    return false;
                };
                (self.edition, self.text) = (*edition, text);
            }
            News::Stand { at } => stand(&mut self.servers, at),
            News::Depart { server } => drop(self.servers.remove(server)),
            News::Fence { duty, fence } => drop(self.fences.insert(duty.clone(), *fence)),
            News::Node { node, enrolled: Some(n) } => drop(self.nodes.insert(node.clone(), *n)),
            News::Node { node, enrolled: None } => drop(self.nodes.remove(node)),
            News::Lead { group, lead } => drop(self.leads.insert(group.clone(), lead.clone())),
        }
        self.n = c.n;
        true
    }
}

impl Known {
    pub fn fence(&self, duty: &str) -> Fence {
        self.fences.get(duty).copied().unwrap_or_default()
    }
    pub fn leadership(&self, group: &Name) -> Leadership {
        Leadership { fence: self.fence(&duty_of(group)), lead: self.leads.get(group).cloned() }
    }
}

impl Told {
    pub fn of(s: &Store, text: Packed) -> Told {
        let (leads, servers, nodes) = (s.leads.clone(), s.servers.clone(), s.nodes.clone());
        let fences = s.fences.iter().map(|(d, f)| (d.clone(), f.0)).collect();
        Told { n: s.n, edition: s.edition(), text, leads, servers, nodes, fences }
    }
}

fn text(s: &Store) -> &str {
    s.blueprint().map_or("", |k| k.text.as_str())
}

impl Store {
    /// Takes the entry if it is the next: its answer, and what it altered for nodes.
    pub fn apply_told(&mut self, e: &Entry) -> Option<(Answer, News)> {
        let edition = self.edition();
        let old = match &e.cmd {
            Cmd::Push { .. } | Cmd::Adopt { .. } => text(self).to_owned(),
            _ => String::new(),
        };
        let a = self.apply(e)?;
        let news = match &e.cmd {
            _ if matches!(a, Answer::Declined(_)) => News::Other,
            Cmd::Push { .. } | Cmd::Adopt { .. } if self.edition() > edition => {
                News::Blueprint { edition: self.edition(), patch: Patch::of(&old, text(self)) }
            }
            Cmd::Stand { at } if self.servers.get(&at.server) == Some(at) => News::Stand { at: at.clone() },
            Cmd::Depart { server } => News::Depart { server: server.clone() },
            // As it stands by then: the chain itself adds to a lead's lists, or lets them go (§5.5).
            Cmd::SetLead { group, .. } | Cmd::Settle { group, .. } => {
                let news = |lead: &Lead| News::Lead { group: group.clone(), lead: lead.clone() };
                self.leads.get(group).map_or(News::Other, news)
            }
            Cmd::Enroll { node, .. } | Cmd::Dismiss { node, .. } => {
                News::Node { node: node.clone(), enrolled: self.nodes.get(node).copied() }
            }
            Cmd::TakeFence { duty, .. } => News::Fence { duty: duty.clone(), fence: self.fence(duty) },
            Cmd::NextFence { group, .. } => {
                let duty = duty_of(group);
                News::Fence { fence: self.fence(&duty), duty }
            }
            _ => News::Other,
        };
        Some((a, news))
    }
}

impl Keeper {
    pub(crate) fn tidings(&mut self, n: ChangeNo, news: News) {
        self.news.push_back(Change { n, news });
        if self.news.len() > LOG_KEEP {
            self.news.pop_front();
        }
    }
    /// What came after `have`, or all of it where the news do not reach back.
    pub(crate) fn told(&mut self, have: ChangeNo, lease_ms: Ms) -> Rep {
        let reach = self.news.front().is_some_and(|c| c.n <= have + 1) && have <= self.store.n;
        if have == self.store.n || reach {
            let changes = self.news.iter().filter(|c| c.n > have).cloned().collect();
            return Rep::Changes { changes, lease_ms };
        }
        let edition = self.store.edition();
        // Packed once an edition, however many ask for it.
        if self.packed.as_ref().is_none_or(|p| p.0 != edition) {
            self.packed = Some((edition, Packed::of(text(&self.store))));
        }
        let packed = self.packed.as_ref().map(|p| p.1.clone()).unwrap_or_default();
        Rep::Told { told: Box::new(Told::of(&self.store, packed)), lease_ms }
    }
}
