//! The checks of a finished run's history. Each breach begins with its check's number.
use super::history::{Document, History, Submission};
use super::parameters::Parameters;
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// Breaches of one check that are reported at most.
const MAX_REPORTED: usize = 5;

/// Every violation, as a line that begins with its check's number.
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
    found.into_iter().flat_map(|breaches| breaches.into_iter().take(MAX_REPORTED)).collect()
}

/// The highest document known by each time; times rise.
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

/// C1: an acknowledged document is returned by every later read, or a higher one is.
fn check_acknowledged_is_durable(history: &History) -> Vec<String> {
    let floor = Floor::of(history.acknowledged.iter().copied());
    let mut breaches = Vec::new();
    for read in &history.reads {
        let Some(least) = floor.before(read.began_at) else { continue };
        if is_below(read.document, least) {
            let got = describe(read.document);
            breaches.push(format!(
                "C1 a read of {} to {} gave {got}; {} was acknowledged",
                read.began_at,
                read.ended_at,
                least.text()
            ));
        }
    }
    breaches
}

/// C2: under one number, one document at most is acknowledged or handed out.
fn check_one_document_per_number(history: &History) -> Vec<String> {
    let read = history.reads.iter().filter_map(|read| read.document);
    let applied = history.applied.iter().filter_map(|applied| applied.document);
    let acknowledged = history.acknowledged.iter().map(|(_, document)| *document);
    let mut variants: BTreeMap<u64, u64> = BTreeMap::new();
    let mut breaches = BTreeMap::new();
    for document in acknowledged.chain(read).chain(applied) {
        let variant = *variants.entry(document.number).or_insert(document.variant);
        if variant != document.variant {
            let text = format!("C2 number {}: documents {variant} and {}", document.number, document.variant);
            breaches.insert(document.number, text);
        }
    }
    breaches.into_values().collect()
}

/// C3: a document that was acknowledged is not refused when it is sent again.
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

/// C4: no read returns an older document than a read that ended before it began.
fn check_reads_are_monotonic(history: &History) -> Vec<String> {
    let seen = history.reads.iter().filter_map(|read| Some((read.ended_at, read.document?)));
    let floor = Floor::of(seen);
    let mut breaches = Vec::new();
    for read in &history.reads {
        let Some(least) = floor.before(read.began_at) else { continue };
        if is_below(read.document, least) {
            let got = describe(read.document);
            breaches.push(format!("C4 a read at {} gave {got} after {}", read.began_at, least.text()));
        }
    }
    breaches
}

/// C6: once everything has healed, the document in force is read back.
fn check_read_back(history: &History) -> Vec<String> {
    if history.read_back {
        return Vec::new();
    }
    vec!["C6 no read was answered after everything had healed".into()]
}

/// C-live: while the core is settled, a proper order is acknowledged in time.
fn check_settled_liveness(history: &History, parameters: &Parameters) -> Vec<String> {
    let mut breaches = Vec::new();
    for order in history.submissions.iter().filter(|order| !order.contested) {
        let late = history.settled.iter().find(|span| waited(order, **span) > parameters.acknowledge_within);
        if let Some(span) = late {
            let document = order.document.text();
            breaches.push(format!(
                "C-live {document}, sent at {}, waited {} ms while settled from {} to {}",
                order.sent_at,
                waited(order, *span),
                span.0,
                span.1
            ));
        }
    }
    breaches
}

/// How long the order waited for its answer within the span.
fn waited(order: &Submission, span: (Millis, Millis)) -> Millis {
    let ends = [order.ended_at, order.superseded_at, Some(span.1)];
    let end = ends.into_iter().flatten().min().unwrap_or(span.1);
    end.saturating_sub(order.sent_at.max(span.0))
}

/// C10: a node that holds its lease has in force what was acknowledged a while before.
fn check_leased_nodes_are_current(history: &History, parameters: &Parameters) -> Vec<String> {
    let floor = Floor::of(history.acknowledged.iter().copied());
    let mut breaches = Vec::new();
    for applied in &history.applied {
        let Some(least) = floor.before(applied.observed_at.saturating_sub(parameters.apply_within)) else {
            continue;
        };
        if is_below(applied.document, least) {
            let got = describe(applied.document);
            breaches.push(format!(
                "C10 node {} holds its lease at {} with {got}; {} was acknowledged",
                applied.node,
                applied.observed_at,
                least.text()
            ));
        }
    }
    breaches
}
