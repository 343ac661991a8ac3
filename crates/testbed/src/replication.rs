//! Replication of a stand-in's log: the primary's response to a pull, and the replica's application of it.
use crate::database::{Database, DiskRecord, LogRecord, PullRequest, PullResponse};
use quincehatch_core::{Position, Role};

impl Database {
    /// Answers a replica's pull and counts the records that the replica already holds towards commits. None if this
    /// server is not primary, or the replica has accepted a higher fence.
    pub fn serve_pull(&mut self, request: &PullRequest, most: usize) -> Option<PullResponse> {
        if self.role != Role::Primary || request.fence > self.fence {
            return None;
        }
        let held = request.have.number as usize;
        let response =
            PullResponse { fence: self.fence, have: request.have, commit: 0, recs: Vec::new(), fences: None };
        let last_held = held.checked_sub(1).map(|last| self.log.get(last));
        let agrees = last_held.is_none_or(|last| last.is_some_and(|record| record.position == request.have));
        if !agrees {
            return Some(PullResponse { fences: Some(self.last_of_each_fence()), ..response });
        }
        self.note_replicated(request);
        let recs = self.log[held..].iter().take(most).cloned().collect();
        Some(PullResponse { commit: self.commit, recs, ..response })
    }

    /// Returns the last position under each fence of the log.
    fn last_of_each_fence(&self) -> Vec<Position> {
        let mut fences: Vec<Position> = Vec::new();
        for record in &self.log {
            match fences.last_mut() {
                Some(last) if last.fence == record.position.fence => *last = record.position,
                _ => fences.push(record.position),
            }
        }
        fences
    }

    /// Records how much of the log a replica holds, if it has accepted this primary's fence and is a voter.
    fn note_replicated(&mut self, request: &PullRequest) {
        let is_voter = self.voters.is_empty() || self.voters.contains(&request.server);
        if request.fence != self.fence || !is_voter {
            return;
        }
        let held = self.replicated_to.entry(request.server.clone()).or_default();
        *held = request.have.number.max(*held);
        self.advance_commit();
    }

    fn advance_commit(&mut self) {
        let on_two_servers = self.replicated_to.values().copied().max().unwrap_or(0);
        let Some(last) = on_two_servers.checked_sub(1) else { return };
        // Records of an older fence commit only together with a later record of this fence.
        if self.log.get(last as usize).is_some_and(|record| record.position.fence == self.fence) {
            self.commit_up_to(on_two_servers);
        }
    }

    /// Applies the response of a primary to this replica's log; false if the response does not continue the log.
    pub fn apply_pull(&mut self, response: PullResponse) -> bool {
        if response.fence < self.fence || self.is_primary_under(response.fence) {
            return false;
        }
        // A response that was long under way: this server may have been primary since, with records of its own.
        if response.have != self.log_end() {
            return false;
        }
        self.set_fence(response.fence);
        if let Some(fences) = response.fences {
            self.truncate_to(&fences);
            return true;
        }
        for record in response.recs {
            if record.position.number == self.log.len() as u64 + 1 {
                self.unwritten.push(DiskRecord::Append(record.clone()));
                self.log.push(record);
            }
        }
        self.commit_up_to(response.commit.min(self.log.len() as u64));
        true
    }

    /// Truncates the log to the prefix that it shares with the primary's log.
    fn truncate_to(&mut self, fences: &[Position]) {
        let agrees = |record: &&LogRecord| {
            let own = record.position;
            fences.iter().any(|last| last.fence == own.fence && own.number <= last.number)
        };
        let common = self.log.iter().take_while(agrees).count();
        // Committed records are never dropped: they are on two servers and so in the primary's log too.
        let length = common.max(self.commit as usize);
        self.log.truncate(length);
        self.unwritten.push(DiskRecord::Truncate(length as u64));
    }
}
