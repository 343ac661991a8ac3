//! Commit at the tail, and the replies that depend on it.
use crate::keeper::{Keeper, Output};
use crate::record::Record;

impl Keeper {
    /// Runs after every input: the tail commits the entries that it holds, and the polls and writes that wait for them
    /// are answered.
    pub(in crate::keeper) fn commit_and_answer(&mut self) {
        if self.can_commit() {
            self.commit();
        }
        self.answer_due_polls();
        self.commit_times.record(self.committed, self.now);
        self.answer_due_writes();
    }

    /// Commits all entries that the tail holds: each of them is on the disk of every member.
    fn commit(&mut self) {
        let last_change = self.store.last_change;
        if self.served_version != self.view.version {
            self.served_version = self.view.version;
            self.outputs.push(Output::Persist(Record::Served { version: self.served_version }));
        }
        let now = self.now;
        let in_force = self.node_leases().in_force(now, last_change);
        let has_advanced = last_change > self.committed || in_force > self.in_force;
        self.committed = last_change;
        self.in_force = self.in_force.max(in_force);
        if has_advanced {
            self.acknowledge();
        }
    }
}
