//! Held sessions of clients that rest, and statements through one, with no wire to a server (§4.10).
use super::port::Hollow;
use super::{blueprint, resident_kib, settings, used_ms};
use bytes::{Bytes, BytesMut};
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{PrimaryAssignment, ServerHeartbeat};
use quincehatch_proxy::Proxy;
use quincehatch_proxy::direct::{DirectProxy, DirectSession, SessionCommand, SessionRequest};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::session::replicas::LocalOnlyReplicas;
use quincehatch_runtime::now;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn held() -> Arc<DirectProxy> {
    let set = settings(0, "127.0.0.1:1".into(), vec![], vec!["127.0.0.1:1".into()]);
    let node = Proxy::new(
        set,
        Box::new(LocalOnlyReplicas::default()),
        quincehatch_runtime::seam::Spawner::current(),
    );
    for k in 0..3 {
        let at = super::standing(k, 1);
        let labels = [("group".into(), at.group), ("district".into(), at.zone)].into();
        node.registry.apply_heartbeat(ServerHeartbeat {
            server: at.server,
            seq: 1,
            labels,
            role: at.role,
            ..Default::default()
        });
    }
    let lead = PrimaryAssignment { fence: 1, server: Some("s0000-0".into()), ..Default::default() };
    let blueprint = Configuration::parse(&blueprint(1, 0)).ok().map(Arc::new);
    let by_db = Arc::new([("db0000".into(), 0)].into());
    node.registry.set_cluster_state(ClusterState {
        number: 1,
        version: 1,
        configuration: blueprint,
        primaries: [("g0000".into(), lead)].into(),
        route_by_database: by_db,
    });
    node.registry.renew_lease(now() + 3_600_000);
    DirectProxy::new(node, Arc::new(Hollow::default()))
}

/// One client's connection as the node's door keeps it: a task, a socket, a buffer, a session.
async fn client(mut s: TcpStream, mut session: DirectSession) {
    let mut buf = BytesMut::new();
    let mut out: Vec<u8> = Vec::new();
    loop {
        buf.reserve(256);
        match s.read_buf(&mut buf).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
        while let Some(i) = buf.iter().position(|b| *b == b'\n') {
            let line = buf.split_to(i + 1).freeze();
            let wish = SessionCommand::Write { text: line };
            let told = session.execute(SessionRequest { id: Bytes::from_static(b"id"), command: wish }).await;
            out.extend_from_slice(if told.result.is_ok() { b"ok\n" } else { b"no\n" });
        }
        if s.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
    }
}

/// What so many sessions hold, in KiB each, and what a thousand statements over one take, in milliseconds: with the
/// clients' sockets, without the servers'.
pub async fn measure(n: usize, statements: usize, me: &Path) -> std::io::Result<(f64, f64)> {
    let held = held();
    let lst = TcpListener::bind("127.0.0.1:0").await?;
    let at = lst.local_addr()?;
    let mut far = Vec::with_capacity(n);
    let had = resident_kib();
    for _ in 0..n {
        let (c, s) = tokio::join!(TcpStream::connect(at), lst.accept());
        let session = DirectSession::open(&held, "db0000").await;
        let session = session.map_err(|b| std::io::Error::other(b.to_string()))?;
        tokio::spawn(client(s?.0, session));
        far.push(c?);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let kib = (resident_kib() - had) / n as f64;
    let (had, mut buf) = (used_ms(me), [0u8; 64]);
    for i in 0..statements {
        let c = &mut far[i % n];
        c.write_all(b"put x 1\n").await?;
        let got = c.read(&mut buf).await?;
        if !buf[..got].starts_with(b"ok") {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
    }
    Ok((kib, (used_ms(me) - had) / statements as f64 * 1_000.0))
}
