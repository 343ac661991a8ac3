//! What operators, readers and nodes saw during a run.
use quincehatch_core::{Millis, Name};
use std::collections::BTreeSet;

/// A configuration document: its number, and which of the texts sent under that number it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Document {
    /// Its number.
    pub number: u64,
    /// Which text it is.
    pub variant: u64,
}

impl Document {
    /// The text that is sent.
    pub fn text(&self) -> String {
        format!("{}/{}", self.number, self.variant)
    }
    /// The document of a text.
    pub fn parse(text: &str) -> Option<Document> {
        let (number, variant) = text.split_once('/')?;
        Some(Document { number: number.parse().ok()?, variant: variant.parse().ok()? })
    }
}

/// One document on its way to an acknowledgement.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The document.
    pub document: Document,
    /// When it was first sent.
    pub sent_at: Millis,
    /// Another document was sent under the same number.
    pub contested: bool,
    /// A higher number was sent at that time.
    pub superseded_at: Option<Millis>,
    /// When its operator had an answer, or gave up.
    pub ended_at: Option<Millis>,
}

/// A read that returned, with what it returned.
#[derive(Clone, Debug)]
pub struct Read {
    /// When it was sent.
    pub began_at: Millis,
    /// When it was answered.
    pub ended_at: Millis,
    /// What was in force.
    pub document: Option<Document>,
}

/// What a node holding its lease had applied at a time.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The node.
    pub node: Name,
    /// When it was looked at.
    pub observed_at: Millis,
    /// What it had in force.
    pub document: Option<Document>,
}

/// Everything that operators, readers and nodes saw.
#[derive(Debug, Default)]
pub struct History {
    /// Documents that were sent.
    pub submissions: Vec<Submission>,
    /// When which document was acknowledged.
    pub acknowledged: Vec<(Millis, Document)>,
    /// When which document was rejected.
    pub rejected: Vec<(Millis, Document)>,
    /// Reads that were answered.
    pub reads: Vec<Read>,
    /// What nodes with a lease had in force.
    pub applied: Vec<Applied>,
    /// A read was answered after everything had healed.
    pub read_back: bool,
    /// Spans in which the core was settled.
    pub settled: Vec<(Millis, Millis)>,
    /// What the keepers themselves were seen to do wrong.
    pub violations: Vec<String>,
}

impl History {
    /// Notes a document's first sending; the place of its order.
    pub fn record_submission(&mut self, at: Millis, document: Document) -> usize {
        for order in &mut self.submissions {
            if order.document.number < document.number {
                order.superseded_at.get_or_insert(at);
            }
        }
        let highest = self.submissions.iter().map(|order| order.document.number).max().unwrap_or(0);
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
        let variants: BTreeSet<u64> = self.of_number(number).map(|sent| sent.document.variant).collect();
        if variants.len() > 1 {
            let same = self.submissions.iter_mut().filter(|order| order.document.number == number);
            same.for_each(|order| order.contested = true);
        }
    }

    fn of_number(&self, number: u64) -> impl Iterator<Item = &Submission> {
        self.submissions.iter().filter(move |order| order.document.number == number)
    }
}
