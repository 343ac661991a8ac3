//! Operators who send documents until they have an answer, and readers of the document in force.
use super::cluster::Cluster;
use super::configuration_api::{DoorAnswer, DoorCall, api_address};
use super::history::{Document, Read};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// Callers move on after a second of silence.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// An order that was superseded is given up after so long.
const SUPERSEDED_PATIENCE: Millis = 5_000;
const MAX_RETRY_PAUSE: u64 = 150;
/// Parts in a thousand of the orders that are not new.
const CONTESTED_PER_MILLE: u64 = 80;
const RESENT_PER_MILLE: u64 = 80;
/// Parts in a thousand of the answers that are lost while answers are lost at all.
const LOST_REPLIES_PER_MILLE: u64 = 700;

/// Starts the processes of operators and readers.
pub fn start(cluster: &Arc<Cluster>) {
    for number in 0..cluster.parameters.operators {
        let cluster = cluster.clone();
        let shared = cluster.clone();
        let begin = move |_: &Arc<_>, _| {
            for _ in 0..cluster.parameters.submissions_in_flight {
                seam::spawn(submit_documents(cluster.clone()));
            }
        };
        shared.core.add_process(&format!("operator {number}"), Arc::new(begin), true);
    }
    for number in 0..cluster.parameters.readers {
        let cluster = cluster.clone();
        let shared = cluster.clone();
        let begin = move |_: &Arc<_>, _| drop(seam::spawn(read_repeatedly(cluster.clone())));
        shared.core.add_process(&format!("reader {number}"), Arc::new(begin), true);
    }
}

async fn random_pause(cluster: &Cluster, limit: Millis) {
    let ms = 1 + cluster.below(limit);
    seam::sleep(Duration::from_millis(ms)).await;
}

async fn submit_documents(cluster: Arc<Cluster>) {
    while !cluster.stopped() {
        random_pause(&cluster, cluster.parameters.max_submission_pause).await;
        let document = choose_document(&cluster);
        submit_until_answered(&cluster, document).await;
    }
}

/// Most orders bring a new number; some are sent again, some come under a number that another operator uses.
fn choose_document(cluster: &Cluster) -> Document {
    let kind = cluster.below(1_000);
    let newest = cluster.state.lock().unwrap().next_number;
    if kind < CONTESTED_PER_MILLE && newest > 0 {
        let number = newest - cluster.below(newest.min(3));
        return Document { number, variant: 1 + cluster.below(2) };
    }
    if kind >= 1_000 - RESENT_PER_MILLE {
        let acknowledged = cluster.history.lock().unwrap().acknowledged.clone();
        let recent = &acknowledged[acknowledged.len().saturating_sub(40)..];
        if let Some((_, document)) = cluster.core.lock().rng.pick(recent) {
            return *document;
        }
    }
    cluster.next_document()
}

/// Sends the document, to any machine, until it is answered.
async fn submit_until_answered(cluster: &Cluster, document: Document) {
    let place = cluster.history.lock().unwrap().record_submission(cluster.core.now(), document);
    while !cluster.stopped() {
        let call = DoorCall::Replace { text: document.text() };
        let answer = call_any_machine(cluster, &call).await;
        if record_reply(cluster, place, document, answer) {
            return;
        }
        random_pause(cluster, MAX_RETRY_PAUSE).await;
    }
}

/// Notes what the operator learned; true if that ends the order.
fn record_reply(cluster: &Cluster, place: usize, document: Document, answer: Option<DoorAnswer>) -> bool {
    let at = cluster.core.now();
    let lossy = cluster.state.lock().unwrap().replies_lost_until > at;
    let lost = lossy && cluster.chance(LOST_REPLIES_PER_MILLE);
    let mut history = cluster.history.lock().unwrap();
    let ends = match answer.filter(|_| !lost) {
        Some(DoorAnswer::Acknowledged) => {
            history.acknowledged.push((at, document));
            true
        }
        Some(DoorAnswer::Refused) => {
            history.rejected.push((at, document));
            true
        }
        _ => history.submissions[place].superseded_at.is_some_and(|since| at >= since + SUPERSEDED_PATIENCE),
    };
    if ends {
        history.submissions[place].ended_at = Some(at);
    }
    ends
}

async fn call_any_machine(cluster: &Cluster, call: &DoorCall) -> Option<DoorAnswer> {
    let addresses = cluster.addresses();
    let address = cluster.core.lock().rng.pick(&addresses).cloned()?;
    call_machine(&address, call).await
}

async fn call_machine(address: &Name, call: &DoorCall) -> Option<DoorAnswer> {
    let frame = borsh::to_vec(call).ok()?;
    let answer = seam::current_world()?.exchange_frame(&api_address(address), frame);
    let bytes = seam::timeout(CALL_TIMEOUT, answer).await.ok()?.ok()?;
    borsh::from_slice(&bytes).ok()
}

async fn read_repeatedly(cluster: Arc<Cluster>) {
    while !cluster.stopped() {
        random_pause(&cluster, cluster.parameters.max_submission_pause / 2).await;
        read_document(&cluster).await;
    }
}

/// One read of the document in force, noted if it was answered.
async fn read_document(cluster: &Cluster) -> Option<()> {
    let began = cluster.core.now();
    let DoorAnswer::Document { text } = call_any_machine(cluster, &DoorCall::Retrieve).await? else {
        return None;
    };
    let document = text.and_then(|text| Document::parse(&text));
    let read = Read { began_at: began, ended_at: cluster.core.now(), document };
    cluster.history.lock().unwrap().reads.push(read);
    Some(())
}

/// Reads the document in force back until some machine answers.
pub async fn read_back(cluster: Arc<Cluster>) {
    loop {
        if read_document(&cluster).await.is_some() {
            cluster.history.lock().unwrap().read_back = true;
            return;
        }
        random_pause(&cluster, MAX_RETRY_PAUSE).await;
    }
}
