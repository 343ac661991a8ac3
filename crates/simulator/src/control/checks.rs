//! The checks of a finished run's history. Each violation is reported as a line that begins with its check's number.
use super::history::{Document, History, Submission};
use super::parameters::Parameters;
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// Largest number of violations that are reported for each check.
const MAX_REPORTED: usize = 5;

/// Returns a line for each violation, up to `MAX_REPORTED` for each check.
pub fn check_history(history: &History, parameters: &Parameters) -> Vec<String> {
    let found = [
        check_acknowledged_is_durable(history),
        check_one_document_per_number(history),
        check_no_rejection_after_acknowledgement(history),
        check_reads_are_monotonic(history),
        check_read_back(history),
        check_settled_liveness(history, parameters),
        check_leased_nodes_are_current(history, parameters),
        history.violations.clone(),
    ];
    found.into_iter().flat_map(|violation_lines| violation_lines.into_iter().take(MAX_REPORTED)).collect()
}

/// The highest document as of each event, in ascending order of time; later reads must not return a lower one.
struct Floor(Vec<(Millis, Document)>);

impl Floor {
    fn of(events: impl Iterator<Item = (Millis, Document)>) -> Floor {
        let mut events: Vec<(Millis, Document)> = events.collect();
        events.sort_by_key(|event| event.0);
        let mut highest: Option<Document> = None;
        for event in &mut events {
            let best = highest.filter(|had| had.number > event.1.number).unwrap_or(event.1);
            event.1 = best;
            highest = Some(best);
        }
        Floor(events)
    }
    /// Returns the highest document of the events before a time.
    fn before(&self, at: Millis) -> Option<Document> {
        let count = self.0.partition_point(|event| event.0 < at);
        count.checked_sub(1).map(|last| self.0[last].1)
    }
}

fn is_below(document: Option<Document>, floor: Document) -> bool {
    document.is_none_or(|document| document.number < floor.number)
}

fn describe(document: Option<Document>) -> String {
    document.map_or_else(|| "nothing".into(), |document| document.text())
}

/// C1: every later read returns the acknowledged document or one with a higher number.
fn check_acknowledged_is_durable(history: &History) -> Vec<String> {
    let floor = Floor::of(history.acknowledged.iter().copied());
    let mut violation_lines = Vec::new();
    for read in &history.reads {
        let Some(minimum) = floor.before(read.began_at) else { continue };
        if is_below(read.document, minimum) {
            let returned = describe(read.document);
            violation_lines.push(format!(
                "C1 a read of {} to {} gave {returned}; {} was acknowledged",
                read.began_at,
                read.ended_at,
                minimum.text()
            ));
        }
    }
    violation_lines
}

/// C2: at most one document of each number is acknowledged, read or applied.
fn check_one_document_per_number(history: &History) -> Vec<String> {
    let read = history.reads.iter().filter_map(|read| read.document);
    let applied = history.applied.iter().filter_map(|applied| applied.document);
    let acknowledged = history.acknowledged.iter().map(|(_, document)| *document);
    let mut variants: BTreeMap<u64, u64> = BTreeMap::new();
    let mut violation_lines = BTreeMap::new();
    for document in acknowledged.chain(read).chain(applied) {
        let variant = *variants.entry(document.number).or_insert(document.variant);
        if variant != document.variant {
            let text = format!("C2 number {}: documents {variant} and {}", document.number, document.variant);
            violation_lines.insert(document.number, text);
        }
    }
    violation_lines.into_values().collect()
}

/// C3: an acknowledged document is not rejected when it is submitted again.
fn check_no_rejection_after_acknowledgement(history: &History) -> Vec<String> {
    let first = |document: &Document| {
        history.acknowledged.iter().filter(|(_, other)| other == document).map(|(at, _)| *at).min()
    };
    let refused_after = |(at, document): &&(Millis, Document)| first(document).is_some_and(|ack| ack < *at);
    let shown = |(at, document): &(Millis, Document)| {
        format!("C3 {} was refused at {at} after its acknowledgement", document.text())
    };
    history.rejected.iter().filter(refused_after).map(shown).collect()
}

/// C4: no read returns an older document than a read that ended before this read began.
fn check_reads_are_monotonic(history: &History) -> Vec<String> {
    let returned_documents = history.reads.iter().filter_map(|read| Some((read.ended_at, read.document?)));
    let floor = Floor::of(returned_documents);
    let mut violation_lines = Vec::new();
    for read in &history.reads {
        let Some(minimum) = floor.before(read.began_at) else { continue };
        if is_below(read.document, minimum) {
            let returned = describe(read.document);
            violation_lines.push(format!(
                "C4 a read at {} gave {returned} after {}",
                read.began_at,
                minimum.text()
            ));
        }
    }
    violation_lines
}

/// C6: a read is answered after all faults are healed.
fn check_read_back(history: &History) -> Vec<String> {
    if history.read_back {
        return Vec::new();
    }
    vec!["C6 no read was answered after everything had healed".into()]
}

/// C-live: while the core is settled, every uncontested submission is answered in time.
fn check_settled_liveness(history: &History, parameters: &Parameters) -> Vec<String> {
    let mut violation_lines = Vec::new();
    for submission in history.submissions.iter().filter(|submission| !submission.contested) {
        let exceeded_span = history
            .settled
            .iter()
            .find(|span| waiting_time(submission, **span) > parameters.acknowledge_within);
        if let Some(span) = exceeded_span {
            let document = submission.document.text();
            violation_lines.push(format!(
                "C-live {document}, sent at {}, waited {} ms while settled from {} to {}",
                submission.sent_at,
                waiting_time(submission, *span),
                span.0,
                span.1
            ));
        }
    }
    violation_lines
}

/// Returns the time within the span for which the submission waited for its answer.
fn waiting_time(submission: &Submission, span: (Millis, Millis)) -> Millis {
    let ends = [submission.ended_at, submission.superseded_at, Some(span.1)];
    let end = ends.into_iter().flatten().min().unwrap_or(span.1);
    end.saturating_sub(submission.sent_at.max(span.0))
}

/// C10: a node with a valid lease has in force what was acknowledged [`Parameters::apply_within`] ago, or a higher
/// document.
fn check_leased_nodes_are_current(history: &History, parameters: &Parameters) -> Vec<String> {
    let floor = Floor::of(history.acknowledged.iter().copied());
    let mut violation_lines = Vec::new();
    for applied in &history.applied {
        let Some(minimum) = floor.before(applied.observed_at.saturating_sub(parameters.apply_within)) else {
            continue;
        };
        if is_below(applied.document, minimum) {
            let returned = describe(applied.document);
            violation_lines.push(format!(
                "C10 node {} holds its lease at {} with {returned}; {} was acknowledged",
                applied.node,
                applied.observed_at,
                minimum.text()
            ));
        }
    }
    violation_lines
}
