//! Servers that answer at once and take no work: what a hollow node meets over its ports (§3.6).
use bytes::Bytes;
use quincehatch_core::{FencingToken, Name, Position, Role};
use quincehatch_proxy::ports::{
    OpenResult, Promoter, PromotionOutcome, ServerCall, ServerConnection, ServerConnector, ServerPorts,
    ServerReply, ServerStatus,
};
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// How often any server was asked.
#[derive(Clone, Default)]
pub struct Hollow(pub Arc<AtomicU64>);

struct Link {
    asked: Arc<AtomicU64>,
    leads: bool,
}

impl Hollow {
    pub fn ports(&self) -> ServerPorts {
        ServerPorts { servers: Arc::new(self.clone()), promoter: Arc::new(self.clone()) }
    }
}

impl ServerConnector for Hollow {
    fn connect(
        &self,
        _: Name,
        _: Name,
        server: Name,
        _: KeepaliveSettings,
    ) -> BoxFuture<'static, io::Result<OpenResult>> {
        let l = Link { asked: self.0.clone(), leads: server.ends_with("-0") };
        Box::pin(async move { Ok(Ok((Box::new(l) as Box<dyn ServerConnection>, None))) })
    }
}

impl ServerConnection for Link {
    fn call<'a>(&'a mut self, _: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let role = if self.leads { Role::Primary } else { Role::Replica };
        let received = Position { fence: 1, number: 1 };
        let look = Some(ServerStatus { role, term: 1, received, ..ServerStatus::default() });
        let stamp = Some(Bytes::from_static(b"1.1"));
        Box::pin(async move {
            Ok(ServerReply { status: look, stamp, log_end: Some(received), ..ServerReply::default() })
        })
    }
    fn broken(&mut self) -> Option<io::Error> {
        None
    }
}

impl Promoter for Hollow {
    fn promote(&self, _: Name, _: Name, _: Name, _: FencingToken) -> BoxFuture<'static, PromotionOutcome> {
        Box::pin(async { PromotionOutcome::Rejected })
    }
}
