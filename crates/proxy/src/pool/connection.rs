//! One connection to one server, and the session that is set up on it at the server's side.
use crate::server_protocol::{Reply, ServerRequest, call};
use crate::session::state::{SessionSetup, SessionState};
use quincehatch_core::{ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{
    HttpConnection, JsonRequest, KeepaliveSettings, LocalCloseMarker, OnDisconnect,
};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Number of the next connection this process opens.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A connection to one server.
pub struct Connection {
    http: HttpConnection,
    /// Names this connection to the server: node, process and number.
    pub id: Name,
    /// The server it leads to.
    pub server: Name,
    /// The address it was opened to.
    pub addr: Name,
    /// The session set up at the server's side; `None` while that is not known.
    setup: Option<SessionSetup>,
}

/// Why a request over a connection brought no reply of the server.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection failed; what was sent may have reached the server.
    Connection(std::io::Error),
    /// The reply was not one of the server's own.
    InvalidReply,
}

/// What to open a connection to, and for whom.
pub struct ConnectTarget<'a> {
    /// Name of this node.
    pub node: &'a str,
    /// Name of the server.
    pub server: &'a Name,
    /// Address of the server.
    pub addr: &'a Name,
    /// How the kernel watches the connection.
    pub keepalive: KeepaliveSettings,
}

impl Connection {
    /// Opens a connection; `on_disconnect` hears of an end that comes while it is idle.
    pub async fn open(target: ConnectTarget<'_>, on_disconnect: OnDisconnect) -> std::io::Result<Connection> {
        let http = HttpConnection::open_watched(target.addr, Some(target.keepalive), on_disconnect).await?;
        let number = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}/{}/{number}", target.node, std::process::id()).into();
        Ok(Connection {
            http,
            id,
            server: target.server.clone(),
            addr: target.addr.clone(),
            setup: Some(SessionSetup::default()),
        })
    }

    /// A handle by which this side says that it closes the connection itself.
    pub fn local_close_marker(&self) -> LocalCloseMarker {
        self.http.local_close_marker()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.http.is_closed()
    }

    /// Whether exactly this session is set up at the server's side.
    pub fn has_setup(&self, setup: &SessionSetup) -> bool {
        self.setup.as_ref() == Some(setup)
    }

    /// Sends a request and waits for its reply, which must carry the stamp of this server.
    pub async fn send(&mut self, request: &ServerRequest) -> Result<Reply, ExchangeError> {
        let call = JsonRequest { method: "POST", path: request.path, body: &request.body, token: None };
        let (_, body) = self.http.call(&call).await.map_err(ExchangeError::Connection)?;
        let reply = Reply::read(body).ok_or(ExchangeError::InvalidReply)?;
        if reply.stamp.server != self.server {
            return Err(ExchangeError::InvalidReply);
        }
        Ok(reply)
    }

    /// Sets up exactly the session at the server's side: the client's own statements, verbatim, and nothing else.
    ///
    /// Returns the server's reply if it rejected one of them. A server that does not answer by `deadline` loses the
    /// connection, as what is set up on it is not known then.
    pub async fn apply_session(
        &mut self,
        session: &SessionState,
        deadline: Millis,
    ) -> Result<Option<Reply>, ExchangeError> {
        let left = Duration::from_millis(deadline.saturating_sub(now()));
        seam::timeout(left, self.change_setup(session))
            .await
            .unwrap_or_else(|_| Err(ExchangeError::Connection(std::io::ErrorKind::TimedOut.into())))
    }

    async fn change_setup(&mut self, session: &SessionState) -> Result<Option<Reply>, ExchangeError> {
        let wanted = session.setup();
        let is_pristine = self.has_setup(&SessionSetup::default());
        if self.has_setup(&wanted) || (seam::injected_bug("no-reset") && !is_pristine) {
            return Ok(None);
        }
        let requests = self.setup_requests(session, is_pristine);
        self.setup = None;
        for request in &requests {
            let reply = self.send(request).await?;
            if reply.error.is_some() {
                return Ok(Some(reply));
            }
        }
        self.setup = Some(wanted);
        Ok(None)
    }

    fn setup_requests(&self, session: &SessionState, is_pristine: bool) -> Vec<ServerRequest> {
        let mut requests = Vec::new();
        if !is_pristine {
            requests.push(call::reset(&self.id));
        }
        for text in &session.settings {
            requests.push(call::set(&self.id, text));
        }
        for (name, text) in &session.prepared {
            requests.push(call::prepare(&self.id, name, text));
        }
        requests
    }
}

impl ExchangeError {
    /// What a client is told.
    pub fn to_error(&self) -> quincehatch_core::Error {
        match self {
            ExchangeError::Connection(error) => ErrorCode::ServerFailed.with_detail(error.kind()),
            ExchangeError::InvalidReply => ErrorCode::InvalidReply.without_detail(),
        }
    }
}
