//! What some steps of a keeper produced.
use crate::keeper::Output;
use crate::record::Record;

/// Records and outputs of some steps, which share one write to the disk. No output may leave before the records are
/// durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// What is to be saved.
    pub records: Vec<Record>,
    pub(super) outputs: Vec<Output>,
}

impl Batch {
    pub(super) fn add(&mut self, output: Output) {
        match output {
            Output::Persist(record) => self.records.push(record),
            other => self.outputs.push(other),
        }
    }
}
