//! One connection to one server, and the session setup that is applied on it.
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

/// The number of the next connection that this process opens.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A connection to one server.
pub struct Connection {
    http: HttpConnection,
    /// The id by which the server knows this connection: node name, process id and connection number.
    pub id: Name,
    /// The server that the connection leads to.
    pub server: Name,
    /// The address that the connection was opened to.
    pub addr: Name,
    /// The session setup that is applied on the server; `None` while that is unknown.
    setup: Option<SessionSetup>,
}

/// Why a request over a connection got no valid reply from the server.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection failed. The request may have reached the server.
    Connection(std::io::Error),
    /// The reply was malformed, or its stamp names another server.
    InvalidReply,
}

/// The target of a new connection.
pub struct ConnectTarget<'a> {
    /// The name of this node.
    pub node: &'a str,
    /// The name of the server.
    pub server: &'a Name,
    /// The address of the server.
    pub addr: &'a Name,
    /// The TCP keep-alive settings of the connection.
    pub keepalive: KeepaliveSettings,
}

impl Connection {
    /// Opens a connection. `on_disconnect` is called if the connection ends while it is idle.
    pub async fn open(target: ConnectTarget<'_>, on_disconnect: OnDisconnect) -> std::io::Result<Connection> {
        let http =
            HttpConnection::open_with_disconnect_callback(target.addr, Some(target.keepalive), on_disconnect)
                .await?;
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

    /// Returns a handle that marks a coming disconnect as initiated by this node.
    pub fn local_close_marker(&self) -> LocalCloseMarker {
        self.http.local_close_marker()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.http.is_closed()
    }

    /// Whether exactly this session setup is applied on the server.
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

    /// Applies exactly this session on the server: the client's own statements, verbatim, and nothing else.
    ///
    /// Returns the server's reply if it rejected one of the statements. If the server does not answer by `deadline`,
    /// the connection fails, because the setup that is applied on it is then unknown.
    pub async fn apply_session(
        &mut self,
        session: &SessionState,
        deadline: Millis,
    ) -> Result<Option<Reply>, ExchangeError> {
        let time_left = Duration::from_millis(deadline.saturating_sub(now()));
        seam::timeout(time_left, self.change_setup(session))
            .await
            .unwrap_or_else(|_| Err(ExchangeError::Connection(std::io::ErrorKind::TimedOut.into())))
    }

    async fn change_setup(&mut self, session: &SessionState) -> Result<Option<Reply>, ExchangeError> {
        let target_setup = session.setup();
        let is_pristine = self.has_setup(&SessionSetup::default());
        if self.has_setup(&target_setup) || (seam::injected_bug("no-reset") && !is_pristine) {
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
        self.setup = Some(target_setup);
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
    /// Converts the failure into the error that the client receives.
    pub fn to_error(&self) -> quincehatch_core::Error {
        match self {
            ExchangeError::Connection(error) => ErrorCode::ServerFailed.with_detail(error.kind()),
            ExchangeError::InvalidReply => ErrorCode::InvalidReply.without_detail(),
        }
    }
}
