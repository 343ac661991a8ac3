//! A read by a process that was suspended does not return a stale answer (docs/design-control.md).
use quincehatch_core::ErrorCode;
use quincehatch_node::store_client::StoreClient;
use quincehatch_store::{AdoptedDocument, KeeperRequest, KeeperResponse, Reply};
use quincehatch_wire::{Identity, serve};
use std::sync::mpsc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a keeper on a separate thread that answers each read at once and notifies `answered` when it does. Returns
/// its address.
fn start_keeper(answered: mpsc::Sender<()>) -> String {
    let (addr_sender, addr) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            addr_sender.send(listener.local_addr().unwrap().to_string()).unwrap();
            serve(listener, 8, Identity::new("keeper"), move |_: KeeperRequest| {
                let answered = answered.clone();
                async move {
                    let _ = answered.send(());
                    let adopted = Some(AdoptedDocument { number: 7, source: "an old document".into() });
                    KeeperResponse::Reply { reply: Reply::Document { document: adopted } }
                }
            })
            .await;
        });
    });
    addr.recv().unwrap()
}

#[test]
fn a_read_fails_when_its_answer_is_received_after_a_suspension_beyond_its_timeout() {
    let (answered_sender, answered) = mpsc::channel();
    let client = StoreClient::new("reader", &[start_keeper(answered_sender)]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let document = runtime.block_on(async {
        let read = client.read_adopted_document(TIMEOUT);
        // Blocks the reader's only thread from the keeper's answer until after the read's timeout.
        let suspension = async {
            loop {
                tokio::task::yield_now().await;
                if answered.try_recv().is_ok() {
                    return std::thread::sleep(2 * TIMEOUT);
                }
            }
        };
        tokio::join!(read, suspension).0
    });
    let is_unavailable = |error: &quincehatch_core::Error| error.has_code(ErrorCode::ChainUnavailable);
    assert!(document.as_ref().is_err_and(is_unavailable), "{document:?}");
}
