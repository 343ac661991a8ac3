//! A connection to a fake server.
use super::{FakeGroup, Fault};
use bytes::Bytes;
use quincehatch_core::{Name, Position};
use quincehatch_proxy::ports::{Rejection, ServerCall, ServerConnection, ServerReply, TransactionState};
use quincehatch_runtime::seam::BoxFuture;
use std::collections::{BTreeMap, HashMap};
use std::io;

/// The kind of a statement or commit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Commit,
}

/// A connection to a server of the fake group, with its session state.
pub struct FakeConnection {
    group: FakeGroup,
    server: Name,
    settings: BTreeMap<Bytes, Bytes>,
    /// The templates of prepared statements by the proxy's names.
    prepared: HashMap<Name, String>,
    in_transaction: bool,
    /// Writes that are not committed yet.
    uncommitted: Vec<String>,
    broken: bool,
    reply_pending: bool,
}

fn text(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

impl FakeConnection {
    pub fn new(group: FakeGroup, server: Name) -> FakeConnection {
        FakeConnection {
            group,
            server,
            settings: BTreeMap::new(),
            prepared: HashMap::new(),
            in_transaction: false,
            uncommitted: Vec::new(),
            broken: false,
            reply_pending: false,
        }
    }

    /// Returns the reply to a successful call.
    fn reply(&self) -> ServerReply {
        let number = self.group.0.lock().unwrap().committed.len() as u64;
        let transaction_state =
            if self.in_transaction { TransactionState::Open } else { TransactionState::Idle };
        ServerReply { transaction_state, log_end: Some(Position { fence: 1, number }), ..Default::default() }
    }

    /// Runs a statement or commit, with the next injected fault of the server.
    async fn run(&mut self, call: String, kind: CallKind) -> io::Result<ServerReply> {
        let fault = self.group.with_server(&self.server, |server| server.faults.pop_front());
        let fault = fault.unwrap_or(Fault::None);
        if !matches!(fault, Fault::Reject(_) | Fault::DisconnectBefore) {
            self.apply(call, kind);
        }
        match fault {
            Fault::Reject(reason) => {
                Ok(ServerReply { rejection: Some(Rejection::without_text(reason)), ..self.reply() })
            }
            Fault::DisconnectBefore | Fault::DisconnectAfter => {
                self.broken = true;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Fault::NoReply => std::future::pending().await,
            Fault::None => {
                let stamp = Some(Bytes::from(format!("stamp-{}", self.server)));
                Ok(ServerReply { rows: vec![Bytes::from_static(b"row")], stamp, ..self.reply() })
            }
        }
    }

    /// Records the call as run at the server, and commits its writes if no transaction stays open.
    fn apply(&mut self, call: String, kind: CallKind) {
        let setting = |(name, value): (&Bytes, &Bytes)| format!("{}={}", text(name), text(value));
        let settings: Vec<String> = self.settings.iter().map(setting).collect();
        let ran = format!("{call} [{}]", settings.join(","));
        self.group.with_server(&self.server, |server| server.ran.push(ran));
        if kind == CallKind::Write {
            self.uncommitted.push(call);
        }
        if kind == CallKind::Commit || !self.in_transaction {
            self.in_transaction = false;
            self.group.0.lock().unwrap().committed.append(&mut self.uncommitted);
        }
    }

    async fn handle_call(&mut self, call: &ServerCall) -> io::Result<ServerReply> {
        match call {
            ServerCall::Begin { .. } => self.in_transaction = true,
            ServerCall::Rollback => {
                self.in_transaction = false;
                self.uncommitted.clear();
            }
            ServerCall::Set { name, value } => {
                self.settings.insert(name.clone(), value.clone());
            }
            ServerCall::Prepare { name, template, .. } => {
                self.prepared.insert(name.clone(), text(template));
            }
            ServerCall::Reset => {
                self.settings.clear();
                self.prepared.clear();
            }
            ServerCall::Run { text: statement, floor, .. } => {
                let statement = text(statement);
                let kind = if statement.starts_with("WRITE") { CallKind::Write } else { CallKind::Read };
                let floor =
                    floor.map_or_else(String::new, |floor| format!("@{}.{} ", floor.fence, floor.number));
                return self.run(format!("{floor}{statement}"), kind).await;
            }
            ServerCall::Execute { name, arguments, .. } => {
                let template = self.prepared.get(name).cloned().unwrap();
                return self.run(format!("{template} {}", text(arguments)), CallKind::Read).await;
            }
            ServerCall::Commit { .. } => return self.run("COMMIT".into(), CallKind::Commit).await,
            _ => {}
        }
        Ok(self.reply())
    }
}

impl ServerConnection for FakeConnection {
    fn call<'a>(&'a mut self, call: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>> {
        Box::pin(async move {
            assert!(!self.reply_pending, "a call on a connection whose reply is pending");
            self.reply_pending = true;
            let reply = self.handle_call(call).await;
            self.reply_pending = reply.is_err();
            reply
        })
    }

    fn idle_error(&mut self) -> Option<io::Error> {
        self.broken.then(|| io::ErrorKind::ConnectionReset.into())
    }
}
