//! Commit at the tail, and the answers that follow from it.
use crate::keeper::{Keeper, Output};
use crate::record::Record;

impl Keeper {
    /// After every input: the tail commits what it holds, and whoever waits for that is answered.
    pub(in crate::keeper) fn commit_and_answer(&mut self) {
        if self.can_commit() {
            self.commit();
        }
        self.answer_due_polls();
        self.commit_times.record(self.committed, self.now);
        self.answer_due_writes();
    }

    /// Whatever the tail holds is on the disk of every member, and so committed.
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
