//! The control API of a machine, which replaces and retrieves the configuration document over the real store client.
use super::cluster::Cluster;
use super::history::Document;
use crate::fleet::simulation::ProcessId;
use quincehatch_core::{Error, ErrorCode, Name, messages};
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::seam::{self, BoxFuture};
use quincehatch_store::Command;
use quincehatch_store::store::document_digest;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for an answer, below the one second after which callers turn to another machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

messages! {
    pub enum ApiRequest { Replace { text: String }, Retrieve }

    pub enum ApiResponse { Acknowledged, Refused, NoClearAnswer, Document { text: Option<String> } }
}

/// The address at which the API of the machine at `address` listens.
pub fn api_address(address: &Name) -> String {
    format!("control-api/{address}")
}

pub fn listen(cluster: &Arc<Cluster>, pid: ProcessId, address: &Name, seeds: &[Name]) {
    let keepers: Vec<String> = std::iter::once(address).chain(seeds).map(Name::to_string).collect();
    let store_client = Arc::new(StoreClient::new(address, &keepers));
    let on_frame = move |bytes: Vec<u8>| {
        let store_client = store_client.clone();
        let answer = async move {
            let answer = match borsh::from_slice(&bytes).ok()? {
                ApiRequest::Replace { text } => replace(&store_client, text).await,
                ApiRequest::Retrieve => retrieve(&store_client).await,
            };
            borsh::to_vec(&answer).ok()
        };
        Box::pin(answer) as BoxFuture<'static, Option<Vec<u8>>>
    };
    cluster.simulation.listen_frames(&api_address(address), pid, Arc::new(on_frame));
}

/// Returns the write of a document, and its idempotency key, which covers the number and the content.
fn adopt_command(document: Document, source: String) -> (String, Command) {
    let key = format!("adopt/{}/{:016x}", document.number, document_digest(&source));
    let (text, by) = (source.clone(), Name::from("operator"));
    (key, Command::AdoptDocument { number: document.number, text, source, by })
}

async fn replace(store_client: &StoreClient, text: String) -> ApiResponse {
    let Some(document) = Document::parse(&text) else { return ApiResponse::Refused };
    if seam::injected_bug("confirm-by-number") && has_adopted_number(store_client, document.number).await {
        return ApiResponse::Acknowledged;
    }
    let (key, command) = adopt_command(document, text);
    match seam::timeout(CALL_TIMEOUT, store_client.write(&key, command, CALL_TIMEOUT)).await {
        Ok(Ok(_)) => ApiResponse::Acknowledged,
        Ok(Err(error)) if is_rejection(&error) => ApiResponse::Refused,
        _ if seam::injected_bug("confirm-unseen") => ApiResponse::Acknowledged,
        _ => ApiResponse::NoClearAnswer,
    }
}

/// Whether the adopted document has this number or a higher one, whatever its content (only for the injected bug).
async fn has_adopted_number(store_client: &StoreClient, number: u64) -> bool {
    let stored = store_client.read_adopted_document(CALL_TIMEOUT).await.ok().flatten();
    stored.is_some_and(|stored| stored.number >= number)
}

/// Whether the chain committed the rejection; after any other error the outcome of the write is unknown.
fn is_rejection(error: &Error) -> bool {
    error.has_code(ErrorCode::NumberTaken)
}

async fn retrieve(store_client: &StoreClient) -> ApiResponse {
    match store_client.read_adopted_document(CALL_TIMEOUT).await {
        Ok(adopted) => ApiResponse::Document { text: adopted.map(|adopted| adopted.source) },
        Err(_) => ApiResponse::NoClearAnswer,
    }
}
