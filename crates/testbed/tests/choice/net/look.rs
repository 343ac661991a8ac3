//! The identity of a state, and the invariants that must hold in each.
use super::{At, Net};
use quincehatch_core::{Position, Role};
use quincehatch_failover::promotion::{Phase, PromotionAction};
use quincehatch_testbed::database::{Database, RecordKind};
use std::hash::{DefaultHasher, Hash, Hasher};

fn log(d: &Database) -> Vec<(Position, bool)> {
    d.log.iter().map(|r| (r.position, r.kind == RecordKind::Start)).collect()
}

impl Net {
    /// Returns a hash of everything that can affect later events. A primary's knowledge of its replicas is covered by
    /// its commit position, and its voters matter only while it is primary.
    pub fn key(&self) -> u64 {
        let mut h = DefaultHasher::new();
        for (d, counts) in self.dbs.iter().zip(&self.counts) {
            let leads = d.role == Role::Primary;
            (leads, d.fence, log(d), d.commit, Some(counts).filter(|_| leads)).hash(&mut h);
        }
        for (l, p, got) in self.wire.iter().flatten().map(|w| &**w) {
            let got = got.as_ref().map(|g| {
                let recs: Vec<_> = g.recs.iter().map(|r| r.position).collect();
                (g.fence, g.commit, recs, &g.fences)
            });
            (l, &p.server, p.fence, p.have, got).hash(&mut h);
        }
        let newest = self.store.fence("lead/g");
        for At { p, asks, heard } in self.all.iter().map(|a| &**a) {
            match asks {
                Some(PromotionAction::PromoteServer { server, voters: counts, .. }) => {
                    (1, p.fence, server, counts).hash(&mut h)
                }
                Some(PromotionAction::WritePrimary { primary: lead, .. }) if p.fence == newest => {
                    (2, p.fence, &lead.server, &lead.voters).hash(&mut h);
                }
                _ if p.phase == Phase::Fencing => (3, p.fence, &p.plan.voters, heard).hash(&mut h),
                _ => 0.hash(&mut h),
            }
        }
        let l = self.store.primaries.get("g");
        l.map(|l| (l.fence, &l.server, l.voter_sets())).hash(&mut h);
        let leads: Vec<_> = self.named.iter().filter(|(f, s)| self.dbs[*s].is_primary_under(*f)).collect();
        (newest, leads, self.orders).hash(&mut h);
        h.finish()
    }

    /// Describes a violated invariant, if any: no two servers have different committed records at one position, and the
    /// assigned primary has every committed record.
    pub fn breach(&self) -> Option<String> {
        let logs: Vec<_> = self.dbs.iter().map(|d| log(d)).collect();
        let shown = |i: usize| &logs[i][..self.dbs[i].commit as usize];
        let n = logs.len();
        for (a, b) in (0..n).flat_map(|a| (0..a).map(move |b| (a, b))) {
            if shown(a).iter().zip(shown(b)).any(|(x, y)| x != y) {
                return Some(format!("{} and {} show different records", self.dbs[a].name, self.dbs[b].name));
            }
        }
        let lead = self.store.primaries.get("g")?;
        let l = self.index(lead.server.as_ref()?);
        let d = &self.dbs[l];
        let lost = (0..n).find(|i| !logs[l].starts_with(shown(*i)));
        let lost = &self.dbs[lost.filter(|_| d.is_primary_under(lead.fence))?];
        Some(format!("the named lead {} lacks what {} shows", d.name, lost.name))
    }
}
