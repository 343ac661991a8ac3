//! The combined results of several steps of a keeper.
use crate::keeper::Output;
use crate::record::Record;

/// The records and outputs of several steps, which share one write to the disk. No output may be sent before the
/// records are durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// The records to be saved.
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
