//! The control API of a machine: what the platform's control calls come to, over the real store client.
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

/// The API answers within this time, as its callers move on after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

messages! {
    pub enum DoorCall { Replace { text: String }, Retrieve }

    pub enum DoorAnswer { Acknowledged, Refused, NoClearAnswer, Document { text: Option<String> } }
}

/// Where the API of the machine at `address` listens.
pub fn api_address(address: &Name) -> String {
    format!("door/{address}")
}

pub fn listen(cluster: &Arc<Cluster>, pid: ProcessId, address: &Name, seeds: &[Name]) {
    let keepers: Vec<String> = std::iter::once(address).chain(seeds).map(Name::to_string).collect();
    let chain = Arc::new(StoreClient::new(address, &keepers));
    let on_frame = move |bytes: Vec<u8>| {
        let chain = chain.clone();
        let answer = async move {
            let answer = match borsh::from_slice(&bytes).ok()? {
                DoorCall::Replace { text } => replace(&chain, text).await,
                DoorCall::Retrieve => retrieve(&chain).await,
            };
            borsh::to_vec(&answer).ok()
        };
        Box::pin(answer) as BoxFuture<'static, Option<Vec<u8>>>
    };
    cluster.core.listen_frames(&api_address(address), pid, Arc::new(on_frame));
}

/// The write of a document, under a key that holds its number and content.
fn adopt_command(document: Document, source: String) -> (String, Command) {
    let key = format!("adopt/{}/{:016x}", document.number, document_digest(&source));
    let (text, by) = (source.clone(), Name::from("operator"));
    (key, Command::AdoptDocument { number: document.number, text, source, by })
}

async fn replace(chain: &StoreClient, text: String) -> DoorAnswer {
    let Some(document) = Document::parse(&text) else { return DoorAnswer::Refused };
    if seam::injected_bug("confirm-by-number") && holds_number(chain, document.number).await {
        return DoorAnswer::Acknowledged;
    }
    let (key, command) = adopt_command(document, text);
    match seam::timeout(CALL_TIMEOUT, chain.write(&key, command, CALL_TIMEOUT)).await {
        Ok(Ok(_)) => DoorAnswer::Acknowledged,
        Ok(Err(why)) if is_rejection(&why) => DoorAnswer::Refused,
        _ if seam::injected_bug("confirm-unseen") => DoorAnswer::Acknowledged,
        _ => DoorAnswer::NoClearAnswer,
    }
}

/// The deliberate bug's look at the number alone.
async fn holds_number(chain: &StoreClient, number: u64) -> bool {
    let held = chain.read_adopted_document(CALL_TIMEOUT).await.ok().flatten();
    held.is_some_and(|held| held.number >= number)
}

/// A refusal is what the chain agreed on; anything else is no clear answer.
fn is_rejection(why: &Error) -> bool {
    why.has_code(ErrorCode::NumberTaken)
}

async fn retrieve(chain: &StoreClient) -> DoorAnswer {
    match chain.read_adopted_document(CALL_TIMEOUT).await {
        Ok(adopted) => DoorAnswer::Document { text: adopted.map(|adopted| adopted.source) },
        Err(_) => DoorAnswer::NoClearAnswer,
    }
}
