//! One link to one server: one connection, one server-side context (§4.3).
use crate::server::{Reply, call};
use crate::session::{Context, Texts};
use quincehatch_core::{ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{Call, OnDisconnect, Ours, KeepaliveSettings, HttpConnection};
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
    worn: Option<Texts>,
    pub used: u64,
}

/// How asking over a link can fail.
#[derive(Debug)]
pub enum LinkBroke {
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
            worn: Some(Texts::default()),
            used: 0,
        })
    }
    pub fn ours(&self) -> Ours {
        self.wire.ours()
    }
    pub fn is_closed(&self) -> bool {
        self.wire.is_closed()
    }
    pub fn wears(&self, t: &Texts) -> bool {
        self.worn.as_ref() == Some(t)
    }
    pub async fn ask(&mut self, (path, body): (&str, Value)) -> Result<Reply, LinkBroke> {
        self.used += 1;
        let c = Call { method: "POST", path, body: &body, token: None };
        let (_, v) = self.wire.ask(&c).await.map_err(LinkBroke::Io)?;
        Reply::read(v).filter(|r| r.stamp.server == self.server).ok_or(LinkBroke::Bad)
    }

    /// Gives the link exactly the session's context: the origin's own verbatim texts and nothing else (§4.3).
    /// A server that does not take it in time has the link dropped, as its context is not known then.
    pub async fn wear(&mut self, ctx: &Context, until: Millis) -> Result<Option<Reply>, LinkBroke> {
        let left = Duration::from_millis(until.saturating_sub(now()));
        seam::timeout(left, self.change(ctx))
            .await
            .unwrap_or_else(|_| Err(LinkBroke::Io(std::io::ErrorKind::TimedOut.into())))
    }

    async fn change(&mut self, ctx: &Context) -> Result<Option<Reply>, LinkBroke> {
        let want = ctx.texts();
        if self.wears(&want)
            || (quincehatch_runtime::seam::injected_bug("no-reset") && !self.wears(&Texts::default()))
        {
            return Ok(None);
        }
        let id = self.id.clone();
        let mut calls = Vec::new();
        if !self.wears(&Texts::default()) {
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

impl LinkBroke {
    pub fn breakdown(&self) -> quincehatch_core::Error {
        match self {
            LinkBroke::Io(e) => ErrorCode::ServerFailed.with_detail(e.kind()),
            LinkBroke::Bad => ErrorCode::InvalidReply.without_detail(),
        }
    }
}
