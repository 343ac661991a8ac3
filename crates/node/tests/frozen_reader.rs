//! A reader that stood still hands out no answer of before (§5.2, docs/design-control.md).
use quincehatch_core::ErrorCode;
use quincehatch_node::store_client::StoreClient;
use quincehatch_store::{AdoptedDocument, KeeperRequest, KeeperResponse, Reply};
use quincehatch_wire::{Identity, serve};
use std::sync::mpsc;
use std::time::Duration;

const WITHIN: Duration = Duration::from_millis(200);

/// A keeper on a thread of its own that answers each read at once; it tells when an answer is on its way.
fn keeper(answered: mpsc::Sender<()>) -> String {
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        rt.block_on(async move {
            let lst = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            tell.send(lst.local_addr().unwrap().to_string()).unwrap();
            serve(lst, 8, Identity::new("keeper"), move |_: KeeperRequest| {
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
    told.recv().unwrap()
}

#[test]
fn an_answer_that_waited_out_a_freeze_is_not_handed_out() {
    let (tell, answered) = mpsc::channel();
    let chain = StoreClient::new("reader", &[keeper(tell)]);
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let read = rt.block_on(async {
        let read = chain.read_adopted_document(WITHIN);
        // Blocks the reader's only thread from when the question is answered until its time is over.
        let freeze = async {
            loop {
                tokio::task::yield_now().await;
                if answered.try_recv().is_ok() {
                    return std::thread::sleep(2 * WITHIN);
                }
            }
        };
        tokio::join!(read, freeze).0
    });
    assert!(read.as_ref().is_err_and(|e| e.has_code(ErrorCode::ChainUnavailable)), "{read:?}");
}
