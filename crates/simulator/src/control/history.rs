//! The history of a run: what operators, readers and nodes observed.
use quincehatch_core::{Millis, Name};
use std::collections::BTreeSet;

/// A configuration document: its number, and which of the texts sent under that number it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Document {
    /// The number under which the document is submitted.
    pub number: u64,
    /// Distinguishes the texts that are submitted under one number.
    pub variant: u64,
}

impl Document {
    /// Returns the text that is submitted.
    pub fn text(&self) -> String {
        format!("{}/{}", self.number, self.variant)
    }
    /// Parses a text written by [`Document::text`].
    pub fn parse(text: &str) -> Option<Document> {
        let (number, variant) = text.split_once('/')?;
        Some(Document { number: number.parse().ok()?, variant: variant.parse().ok()? })
    }
}

/// An operator's attempts to have one document acknowledged.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The document.
    pub document: Document,
    /// When the document was first sent.
    pub sent_at: Millis,
    /// Whether another document was submitted under the same number.
    pub contested: bool,
    /// When a document with a higher number was first submitted.
    pub superseded_at: Option<Millis>,
    /// When the operator received an answer, or abandoned the submission.
    pub ended_at: Option<Millis>,
}

/// A read that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// When the read was sent.
    pub began_at: Millis,
    /// When the read was answered.
    pub ended_at: Millis,
    /// The document that the read returned.
    pub document: Option<Document>,
}

/// The document that a node with a valid lease had applied at a time.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The node.
    pub node: Name,
    /// When the node was observed.
    pub observed_at: Millis,
    /// The document that the node had in force.
    pub document: Option<Document>,
}

/// All observations of operators, readers and nodes.
#[derive(Debug, Default)]
pub struct History {
    /// Submissions, in the order of their first sending.
    pub submissions: Vec<Submission>,
    /// Acknowledged documents, with the time of the acknowledgement.
    pub acknowledged: Vec<(Millis, Document)>,
    /// Rejected documents, with the time of the rejection.
    pub rejected: Vec<(Millis, Document)>,
    /// Reads that were answered.
    pub reads: Vec<Read>,
    /// Documents that nodes with a valid lease had in force.
    pub applied: Vec<Applied>,
    /// Whether a read was answered after all faults were healed.
    pub read_back: bool,
    /// Spans in which the core was settled.
    pub settled: Vec<(Millis, Millis)>,
    /// Violations of the invariants between the keepers.
    pub violations: Vec<String>,
}

impl History {
    /// Records the first sending of a document; returns the index of its submission.
    pub fn record_submission(&mut self, at: Millis, document: Document) -> usize {
        for submission in &mut self.submissions {
            if submission.document.number < document.number {
                submission.superseded_at.get_or_insert(at);
            }
        }
        let highest = self.submissions.iter().map(|submission| submission.document.number).max().unwrap_or(0);
        let superseded = (highest > document.number).then_some(at);
        let contested = false;
        self.submissions.push(Submission {
            document,
            sent_at: at,
            contested,
            superseded_at: superseded,
            ended_at: None,
        });
        self.mark_contested(document.number);
        self.submissions.len() - 1
    }

    fn mark_contested(&mut self, number: u64) {
        let variants: BTreeSet<u64> =
            self.with_number(number).map(|earlier| earlier.document.variant).collect();
        if variants.len() > 1 {
            let same = self.submissions.iter_mut().filter(|submission| submission.document.number == number);
            same.for_each(|submission| submission.contested = true);
        }
    }

    fn with_number(&self, number: u64) -> impl Iterator<Item = &Submission> {
        self.submissions.iter().filter(move |submission| submission.document.number == number)
    }
}
