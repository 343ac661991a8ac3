//! Replication of a stand-in's log (§3.2): what a primary gives and a replica takes.
use crate::database::{Database, DiskRecord, LogRecord, PullRequest, PullResponse};
use quincehatch_core::{Position, Role};

impl Database {
    /// A replica asks for more; what it holds is matched and counts towards commits (§3.2).
    pub fn serve_pull(&mut self, p: &PullRequest, most: usize) -> Option<PullResponse> {
        if self.role != Role::Primary || p.fence > self.fence {
            return None;
        }
        let have = p.have.number;
        let same = have == 0 || self.log.get(have as usize - 1).is_some_and(|r| r.position == p.have);
        if !same {
            let mut fences: Vec<Position> = Vec::new();
            for r in &self.log {
                match fences.last_mut() {
                    Some(l) if l.fence == r.position.fence => *l = r.position,
                    _ => fences.push(r.position),
                }
            }
            return Some(PullResponse {
                fence: self.fence,
                have: p.have,
                commit: 0,
                recs: vec![],
                fences: Some(fences),
            });
        }
        // Only a replica that already declines lower fences may count.
        if p.fence == self.fence && (self.voters.is_empty() || self.voters.contains(&p.server)) {
            let m = self.replicated_to.entry(p.server.clone()).or_default();
            *m = (*m).max(have);
            self.advance_commit();
        }
        let recs = self.log[have as usize..].iter().take(most).cloned().collect();
        Some(PullResponse { fence: self.fence, have: p.have, commit: self.commit, recs, fences: None })
    }
    fn advance_commit(&mut self) {
        let on_two = self.replicated_to.values().copied().max().unwrap_or(0);
        // A record of an older fence is only safe under one of this fence.
        let own =
            on_two > 0 && self.log.get(on_two as usize - 1).is_some_and(|r| r.position.fence == self.fence);
        if own {
            self.commit_up_to(on_two);
        }
    }
    /// A replica takes what its primary gave.
    pub fn apply_pull(&mut self, p: PullResponse) -> bool {
        if p.fence < self.fence || (self.role == Role::Primary && p.fence == self.fence) {
            return false;
        }
        // A reply that was long under way: this server may have led since, and its log goes on in another way.
        if p.have != self.log_end() {
            return false;
        }
        self.set_fence(p.fence);
        if let Some(fences) = p.fences {
            let agree = |r: &LogRecord| {
                fences.iter().any(|l| l.fence == r.position.fence && r.position.number <= l.number)
            };
            let keep = self.log.iter().take_while(|r| agree(r)).count();
            // Never below what is visible: that is on two servers and so in the primary's log too.
            let keep = keep.max(self.commit as usize);
            self.log.truncate(keep);
            self.unwritten.push(DiskRecord::Truncate(keep as u64));
            return true;
        }
        for r in p.recs {
            if r.position.number == self.log.len() as u64 + 1 {
                self.unwritten.push(DiskRecord::Append(r.clone()));
                self.log.push(r);
            }
        }
        self.commit_up_to(p.commit.min(self.log.len() as u64));
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::database::{KeyOutcome, Write};
    use serde_json::Value;

    fn sync(p: &mut Database, r: &mut Database) {
        for _ in 0..8 {
            let ask = PullRequest { server: r.name.clone(), fence: r.fence, have: r.log_end() };
            let Some(got) = p.serve_pull(&ask, 100) else { return };
            r.apply_pull(got);
        }
    }

    #[test]
    fn a_primary_that_comes_back_answers_no_read_before_all_is_visible() {
        let (mut a, mut b) = (Database::new("a"), Database::new("b"));
        a.promote(1, vec![]);
        sync(&mut a, &mut b);
        a.add_commit("t1", "x", vec![Write::Add("x".into(), 1)], Value::Null);
        sync(&mut a, &mut b);
        assert!(a.is_readable());
        let mut a = Database::replay("a", std::mem::take(&mut a.unwritten).into_iter());
        assert!(!a.is_readable() && a.values.is_empty());
        sync(&mut a, &mut b);
        assert!(a.is_readable());
        assert_eq!(a.values.get("x"), Some(&Value::from(1)));
    }

    #[test]
    fn a_commit_counts_only_on_two_and_an_old_primary_is_cut_back() {
        let (mut a, mut b, mut c) = (Database::new("a"), Database::new("b"), Database::new("c"));
        assert!(a.promote(1, vec![]));
        sync(&mut a, &mut b);
        let n = a.add_commit("t1", "x", vec![Write::Add("x".into(), 1)], Value::Null);
        assert!(a.commit < n);
        sync(&mut a, &mut b);
        assert_eq!(a.commit, n);
        a.add_commit("lost", "x", vec![Write::Add("x".into(), 5)], Value::Null);
        // b and c are fenced; b is ahead and is promoted. The old primary's lone record must go.
        assert!(b.set_fence(2) && c.set_fence(2));
        assert!(a.serve_pull(&PullRequest { server: "b".into(), fence: 2, have: b.log_end() }, 9).is_none());
        assert!(b.promote(2, vec![]));
        sync(&mut b, &mut c);
        sync(&mut b, &mut a);
        assert_eq!(a.values.get("x"), Some(&Value::from(1)));
        assert_eq!(a.log, b.log);
        assert_eq!(a.outcome("lost"), KeyOutcome::NotCommitted);
        assert_matches::assert_matches!(c.outcome("t1"), KeyOutcome::Committed { sum, .. } if sum == "x");
    }
}
