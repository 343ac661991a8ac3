//! An origin's connection to a node, and what it asks and is told there.
use super::ledger::SentStatement;
use super::setup::{DirectFleet, SimulatedNode};
use bytes::Bytes;
use quincehatch_core::{ErrorCode, Millis, Outcome};
use quincehatch_proxy::direct::{
    DirectProxy, DirectSession, SessionCommand, SessionRequest, StatementResponse, command::StatementError,
};
use quincehatch_proxy::ports::RejectReason;
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A transaction that rests is ended after so long.
pub const TRANSACTION_IDLE_MS: Millis = 3_000;
const REPLY_TIMEOUT_MS: Millis = 3_000;

type RequestSender = mpsc::UnboundedSender<(SessionRequest, oneshot::Sender<StatementResponse>)>;

/// A session's task at its node, as the node's door has one.
async fn serve_session(
    held: Arc<DirectProxy>,
    db: &'static str,
    mut rx: mpsc::UnboundedReceiver<(SessionRequest, oneshot::Sender<StatementResponse>)>,
    opened: oneshot::Sender<bool>,
) {
    let session = DirectSession::open(&held, db).await.ok();
    let _ = opened.send(session.is_some());
    let Some(mut s) = session else { return };
    loop {
        let got = if s.holds_connection() {
            let Ok(got) = seam::timeout(Duration::from_millis(TRANSACTION_IDLE_MS), rx.recv()).await else {
                s.abort_transaction();
                continue;
            };
            got
        } else {
            rx.recv().await
        };
        let Some((ask, tx)) = got else { return };
        let told = s.execute(ask).await;
        let _ = tx.send(told);
    }
}

/// How an operation's try ended, as its origin sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    Succeeded,
    /// Nothing is kept, or it only reads and failed, or it was broken off before its commit: it is tried again.
    Retry,
    Failed,
}

/// Is it a promise that nothing of the try is kept? The words of the platform's line say it so.
pub fn guarantees_not_applied(g: &StatementError) -> bool {
    match g {
        StatementError::Server(no, _) => {
            matches!(
                no,
                RejectReason::Busy
                    | RejectReason::Behind
                    | RejectReason::NotPrimary
                    | RejectReason::WrongServer
                    | RejectReason::TooManyConnections
            )
        }
        StatementError::Proxy(b) => {
            let other = [
                ErrorCode::DeadlinePassed,
                ErrorCode::NoRoute,
                ErrorCode::Malformed,
                ErrorCode::TooLarge,
                ErrorCode::ServerRejected,
            ];
            b.outcome == Outcome::NotApplied && !other.iter().any(|c| b.has_code(*c))
        }
    }
}

pub struct ClientConnection {
    pub fleet: Arc<DirectFleet>,
    requests: RequestSender,
    pub at_primary: bool,
    settings: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Bytes, (bool, Bytes)>,
    pub closed: bool,
}

async fn network_delay() {
    seam::sleep(Duration::from_millis(fastrand::u64(1..5))).await;
}

/// A connection to one node; none where nobody answers in time, or no rule takes the database.
pub async fn open_connection(
    l: &Arc<DirectFleet>,
    n: &SimulatedNode,
    order: bool,
) -> Option<ClientConnection> {
    let up = l.core.lock().processes[n.pid].up;
    let live = n.live().filter(|_| up)?;
    let (wire, rx) = mpsc::unbounded_channel();
    let (tx, opened) = oneshot::channel();
    network_delay().await;
    if !l.core.lock().processes[n.pid].up {
        return None;
    }
    let db = if order { "o" } else { "l" };
    l.core.run_in(n.pid, || seam::spawn(serve_session(live.direct_proxy.clone(), db, rx, tx)));
    let said = seam::timeout(Duration::from_secs(2), opened).await.ok()?.ok()?;
    let (values, prepared) = (BTreeMap::new(), BTreeMap::new());
    said.then_some(ClientConnection {
        fleet: l.clone(),
        requests: wire,
        at_primary: order,
        settings: values,
        prepared,
        closed: false,
    })
}

impl ClientConnection {
    pub fn next_statement_id(&self) -> u64 {
        self.fleet.group.with(|s| {
            s.ledger.statements += 1;
            s.ledger.statements as u64
        })
    }
    /// One wish and its answer; silence ends the session.
    pub async fn request(&mut self, id: u64, wish: SessionCommand) -> Option<StatementResponse> {
        network_delay().await;
        let (tx, rx) = oneshot::channel();
        let sent =
            self.requests.send((SessionRequest { id: Bytes::from(id.to_string()), command: wish }, tx));
        let got = match sent {
            Ok(()) => {
                seam::timeout(Duration::from_millis(REPLY_TIMEOUT_MS), rx).await.ok().and_then(Result::ok)
            }
            Err(_) => None,
        };
        network_delay().await;
        self.closed |= got.is_none();
        got
    }
    pub fn record_sent(&self, id: u64, a: SentStatement) {
        self.fleet.group.with(|s| s.ledger.sent.insert(id, a));
    }
    pub fn now(&self) -> Millis {
        self.fleet.core.now()
    }

    /// A setting or a prepared text; an error to it ends the session.
    pub async fn change_session_state(&mut self) {
        let name = Bytes::from(format!("x{}", fastrand::u64(0..3)));
        let id = self.next_statement_id();
        let set = fastrand::bool();
        let (write, shape) =
            (self.at_primary && fastrand::bool(), Bytes::from(format!("q{}", fastrand::u64(0..9))));
        let value = Bytes::from(fastrand::u64(0..5).to_string());
        let wish = match set {
            true => SessionCommand::Set { name: name.clone(), value: value.clone() },
            false => SessionCommand::Prepare { name: name.clone(), write, template: shape.clone() },
        };
        match self.request(id, wish).await {
            Some(t) if t.result.is_ok() && set => drop(self.settings.insert(name, value)),
            Some(t) if t.result.is_ok() => drop(self.prepared.insert(name, (write, shape))),
            _ => self.closed = true,
        }
    }

    /// One statement; its id, whether it writes, and what came of it.
    pub async fn run_statement(
        &mut self,
        txn: Option<(u64, bool)>,
        from: Option<Millis>,
    ) -> (u64, bool, Option<StatementResponse>) {
        let id = self.next_statement_id();
        let read_only = txn.is_some_and(|t| t.1);
        let named = self.prepared.iter().filter(|(_, p)| !(read_only && p.0));
        let named: Vec<_> = named.map(|(n, p)| (n.clone(), p.clone())).collect();
        let of = fastrand::usize(0..3 * named.len().max(1));
        let named = named.get(of).cloned();
        let write = match &named {
            Some((_, p)) => p.0,
            None => !read_only && fastrand::u64(0..100) < if self.at_primary { 60 } else { 8 },
        };
        let text = match (&named, write) {
            (Some(_), _) => Bytes::from(format!("a{} d{id}", id % 7)),
            (None, true) => Bytes::from(format!("WRITE a{} d{id}", id % 7)),
            (None, false) => Bytes::from(format!("READ a{}", id % 7)),
        };
        let a = SentStatement {
            text: text.clone(),
            prepared: named.as_ref().map(|(_, p)| p.clone()),
            values: self.settings.clone(),
            transaction: txn,
            write,
            commit: false,
            at_primary: self.at_primary,
            sent_at: from.unwrap_or(self.now()),
        };
        self.record_sent(id, a);
        let wish = match (named, write) {
            (Some((name, _)), _) => SessionCommand::Execute { name, arguments: text },
            (None, true) => SessionCommand::Write { text },
            (None, false) => SessionCommand::Read { text },
        };
        (id, write, self.request(id, wish).await)
    }

    /// What an answer to a read, write or commit means to the books and to the origin.
    pub fn record_outcome(
        &mut self,
        id: u64,
        kept: bool,
        writes: &[u64],
        t: &Option<StatementResponse>,
    ) -> AttemptEnd {
        let at = self.now();
        self.fleet.group.with(|s| match t.as_ref().map(|t| &t.result) {
            Some(Ok(stamp)) => {
                let rows = t.as_ref().map_or(&[][..], |t| &t.rows);
                s.ledger.check_success(at, id, stamp.as_ref(), rows);
                if kept {
                    s.ledger.record_acknowledgement(at, id);
                }
                AttemptEnd::Succeeded
            }
            Some(Err(g)) if guarantees_not_applied(g) => {
                s.ledger.record_rejection(at, writes);
                AttemptEnd::Retry
            }
            Some(Err(StatementError::Server(RejectReason::Failed, _))) if writes.is_empty() => {
                AttemptEnd::Retry
            }
            _ => AttemptEnd::Failed,
        })
    }
}
