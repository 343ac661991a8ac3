//! Simulated operators, who submit documents until each is answered, and readers of the document in force.
use super::cluster::Cluster;
use super::configuration_api::{ApiRequest, ApiResponse, api_address};
use super::history::{Document, Read};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// A call without an answer within this time has failed; the next one goes to any machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an operator abandons a superseded submission.
const SUPERSEDED_TIMEOUT: Millis = 5_000;
/// Longest pause before a retry.
const MAX_RETRY_PAUSE: u64 = 150;
/// Share of submissions under a number that another operator may use.
const CONTESTED_PER_MILLE: u64 = 80;
/// Share of submissions that repeat an acknowledged document.
const RESENT_PER_MILLE: u64 = 80;
/// Share of replies that are lost during the fault that loses replies.
const LOST_REPLIES_PER_MILLE: u64 = 700;

/// Starts the processes of operators and readers.
pub fn start(cluster: &Arc<Cluster>) {
    for number in 0..cluster.parameters.operators {
        let cluster = cluster.clone();
        let shared = cluster.clone();
        let start_tasks = move |_: &Arc<_>, _| {
            for _ in 0..cluster.parameters.submissions_in_flight {
                seam::spawn(submit_documents(cluster.clone()));
            }
        };
        shared.simulation.add_process(&format!("operator {number}"), Arc::new(start_tasks), true);
    }
    for number in 0..cluster.parameters.readers {
        let cluster = cluster.clone();
        let shared = cluster.clone();
        let start_tasks = move |_: &Arc<_>, _| drop(seam::spawn(read_repeatedly(cluster.clone())));
        shared.simulation.add_process(&format!("reader {number}"), Arc::new(start_tasks), true);
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

/// Most documents have a new number; some repeat an acknowledged one, some use the number of another submission.
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
        if let Some((_, document)) = cluster.simulation.lock().rng.pick(recent) {
            return *document;
        }
    }
    cluster.next_document()
}

/// Submits the document, each time to any machine, until it is answered.
async fn submit_until_answered(cluster: &Cluster, document: Document) {
    let index = cluster.history.lock().unwrap().record_submission(cluster.simulation.now(), document);
    while !cluster.stopped() {
        let call = ApiRequest::Replace { text: document.text() };
        let response = call_any_machine(cluster, &call).await;
        if record_reply(cluster, index, document, response) {
            return;
        }
        random_pause(cluster, MAX_RETRY_PAUSE).await;
    }
}

/// Records the operator's answer, unless the reply is lost; returns whether the submission is done.
fn record_reply(cluster: &Cluster, index: usize, document: Document, response: Option<ApiResponse>) -> bool {
    let at = cluster.simulation.now();
    let loses_replies = cluster.state.lock().unwrap().replies_lost_until > at;
    let is_lost = loses_replies && cluster.chance(LOST_REPLIES_PER_MILLE);
    let mut history = cluster.history.lock().unwrap();
    let is_done = match response.filter(|_| !is_lost) {
        Some(ApiResponse::Acknowledged) => {
            history.acknowledged.push((at, document));
            true
        }
        Some(ApiResponse::Refused) => {
            history.rejected.push((at, document));
            true
        }
        _ => history.submissions[index].superseded_at.is_some_and(|since| at >= since + SUPERSEDED_TIMEOUT),
    };
    if is_done {
        history.submissions[index].ended_at = Some(at);
    }
    is_done
}

async fn call_any_machine(cluster: &Cluster, call: &ApiRequest) -> Option<ApiResponse> {
    let addresses = cluster.addresses();
    let address = cluster.simulation.lock().rng.pick(&addresses).cloned()?;
    call_machine(&address, call).await
}

async fn call_machine(address: &Name, call: &ApiRequest) -> Option<ApiResponse> {
    let frame = borsh::to_vec(call).ok()?;
    let response = seam::current_world()?.exchange_frame(&api_address(address), frame);
    let bytes = seam::timeout(CALL_TIMEOUT, response).await.ok()?.ok()?;
    borsh::from_slice(&bytes).ok()
}

async fn read_repeatedly(cluster: Arc<Cluster>) {
    while !cluster.stopped() {
        random_pause(&cluster, cluster.parameters.max_submission_pause / 2).await;
        read_document(&cluster).await;
    }
}

/// Reads the document in force, and records the read if it was answered.
async fn read_document(cluster: &Cluster) -> Option<()> {
    let sent_at = cluster.simulation.now();
    let ApiResponse::Document { text } = call_any_machine(cluster, &ApiRequest::Retrieve).await? else {
        return None;
    };
    let document = text.and_then(|text| Document::parse(&text));
    let read = Read { began_at: sent_at, ended_at: cluster.simulation.now(), document };
    cluster.history.lock().unwrap().reads.push(read);
    Some(())
}

/// Retries a read of the document in force until a machine answers it.
pub async fn read_back(cluster: Arc<Cluster>) {
    loop {
        if read_document(&cluster).await.is_some() {
            cluster.history.lock().unwrap().read_back = true;
            return;
        }
        random_pause(&cluster, MAX_RETRY_PAUSE).await;
    }
}
