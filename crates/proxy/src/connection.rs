//! One link to one server: one connection, one server-side context (§4.3).
use crate::server_protocol::{Reply, call};
use crate::session::{SessionSetup, SessionState};
use quincehatch_core::{ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{
    HttpConnection, JsonRequest, KeepaliveSettings, LocalCloseMarker, OnDisconnect,
};
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT: AtomicU64 = AtomicU64::new(1);

pub struct Link {
    wire: HttpConnection,
    pub id: Name,
    pub server: Name,
    pub addr: Name,
    /// What the link wears; `None` while that is not known.
    worn: Option<SessionSetup>,
    pub used: u64,
}

/// How asking over a link can fail.
#[derive(Debug)]
pub enum ExchangeError {
    /// The link itself; whatever was sent may have reached the server.
    Io(std::io::Error),
    /// An answer that is not the server's own.
    Bad,
}

impl Link {
    pub async fn open(
        me: &str,
        server: &Name,
        addr: &Name,
        w: KeepaliveSettings,
        on_break: OnDisconnect,
    ) -> std::io::Result<Link> {
        let wire = HttpConnection::open_watched(addr, Some(w), on_break).await?;
        let id = format!("{me}/{}/{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed)).into();
        Ok(Link {
            wire,
            id,
            server: server.clone(),
            addr: addr.clone(),
            worn: Some(SessionSetup::default()),
            used: 0,
        })
    }
    pub fn ours(&self) -> LocalCloseMarker {
        self.wire.local_close_marker()
    }
    pub fn is_closed(&self) -> bool {
        self.wire.is_closed()
    }
    pub fn wears(&self, t: &SessionSetup) -> bool {
        self.worn.as_ref() == Some(t)
    }
    pub async fn ask(&mut self, (path, body): (&str, Value)) -> Result<Reply, ExchangeError> {
        self.used += 1;
        let c = JsonRequest { method: "POST", path, body: &body, token: None };
        let (_, v) = self.wire.call(&c).await.map_err(ExchangeError::Io)?;
        Reply::read(v).filter(|r| r.stamp.server == self.server).ok_or(ExchangeError::Bad)
    }

    /// Gives the link exactly the session's context: the origin's own verbatim texts and nothing else (§4.3).
    /// A server that does not take it in time has the link dropped, as its context is not known then.
    pub async fn wear(&mut self, ctx: &SessionState, until: Millis) -> Result<Option<Reply>, ExchangeError> {
        let left = Duration::from_millis(until.saturating_sub(now()));
        seam::timeout(left, self.change(ctx))
            .await
            .unwrap_or_else(|_| Err(ExchangeError::Io(std::io::ErrorKind::TimedOut.into())))
    }

    async fn change(&mut self, ctx: &SessionState) -> Result<Option<Reply>, ExchangeError> {
        let want = ctx.setup();
        if self.wears(&want)
            || (quincehatch_runtime::seam::injected_bug("no-reset") && !self.wears(&SessionSetup::default()))
        {
            return Ok(None);
        }
        let id = self.id.clone();
        let mut calls = Vec::new();
        if !self.wears(&SessionSetup::default()) {
            calls.push(call::reset(&id));
        }
        calls.extend(ctx.settings.iter().map(|t| call::set(&id, t)));
        calls.extend(ctx.prepared.iter().map(|(n, t)| call::prepare(&id, n, t)));
        self.worn = None;
        for c in calls {
            let r = self.ask(c).await?;
            if r.error.is_some() {
                return Ok(Some(r));
            }
        }
        self.worn = Some(want);
        Ok(None)
    }
}

impl ExchangeError {
    pub fn breakdown(&self) -> quincehatch_core::Error {
        match self {
            ExchangeError::Io(e) => ErrorCode::ServerFailed.with_detail(e.kind()),
            ExchangeError::Bad => ErrorCode::InvalidReply.without_detail(),
        }
    }
}
