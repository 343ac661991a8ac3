//! Questions of the control plane to servers met over held links: one kept link a server (§3.6, §5.5).
use crate::ClusterNode;
use quincehatch_core::{Millis, Name, Position, Role};
use quincehatch_proxy::ports::{RejectReason, ServerCall, ServerConnection, ServerReply, ServerStatus};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::KeepaliveSettings;
use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::time::Duration;

/// A server that has not answered in this time is silent.
const WITHIN: Duration = Duration::from_millis(400);

/// Where it leads, when it was last used, and the link.
type Kept = (Name, Millis, Box<dyn ServerConnection>);

/// A link not used for so long is closed.
const IDLE: Millis = 5_000;

/// What servers last said of themselves here, and the links they were asked over.
#[derive(Default)]
pub struct Asking {
    links: Mutex<BTreeMap<Name, Kept>>,
    looks: Mutex<BTreeMap<Name, (Millis, ServerStatus)>>,
}

impl Asking {
    /// When it was asked, and what it said.
    pub fn look(&self, server: &str) -> Option<(Millis, ServerStatus)> {
        self.looks.lock().unwrap().get(server).copied()
    }
    /// The newest term that any of these has heard of.
    pub fn newest(&self, servers: &[Name]) -> u64 {
        let looks = self.looks.lock().unwrap();
        let of = |s: &Name| looks.get(s).map(|(_, l)| l.term.max(l.suspended_term).max(l.received.fence));
        servers.iter().filter_map(of).max().unwrap_or(0)
    }
    /// Lets go of links that are not in use, and of what servers said that are gone.
    pub fn forget(&self, times: u64, there: impl Fn(&Name) -> bool) {
        // A link that each of many nodes keeps is one that no origin's work gets.
        let idle = (IDLE / times).max(600);
        self.links.lock().unwrap().retain(|s, (_, used, _)| there(s) && now() < *used + idle);
        self.looks.lock().unwrap().retain(|s, _| there(s));
    }
}

/// Asks a server; what it says of itself is kept, and so is that it answered or did not.
pub async fn ask(f: &ClusterNode, server: &Name, call: ServerCall) -> Option<ServerStatus> {
    let row = f.proxy.registry.server(server)?;
    let asked = now();
    let got = seam::timeout(WITHIN, once(f, server, row.addr(), row.group(), &call)).await;
    match got.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(said) => {
            row.note_answer(asked);
            let look = said.status?;
            let leads =
                || f.proxy.registry.primary(&row.group()).is_some_and(|l| l.server.as_ref() == Some(server));
            if look.role == Role::Primary && leads() {
                f.proxy.registry.record_primary_position(&row.group(), asked, look.received);
            }
            let mut looks = f.promotion_state.server_queries.looks.lock().unwrap();
            if looks.get(server).is_none_or(|(at, _)| *at <= asked) {
                looks.insert(server.clone(), (asked, look));
            }
            Some(look)
        }
        Err(e) => {
            row.note_failure(asked, matches!(e.kind(), io::ErrorKind::ConnectionRefused));
            None
        }
    }
}

/// Over the kept link if it still holds, else over a new one.
async fn once(
    f: &ClusterNode,
    server: &Name,
    addr: Name,
    group: Name,
    call: &ServerCall,
) -> io::Result<ServerReply> {
    let kept = f.promotion_state.server_queries.links.lock().unwrap().remove(server);
    if let Some((at, _, mut line)) = kept.filter(|(at, _, _)| *at == addr)
        && line.broken().is_none()
        && let Ok(said) = line.call(call).await
    {
        f.promotion_state.server_queries.links.lock().unwrap().insert(server.clone(), (at, now(), line));
        return Ok(said);
    }
    let none = || io::Error::from(io::ErrorKind::Unsupported);
    let ports = f.ports.clone().ok_or_else(none)?;
    match ports.servers.connect(addr.clone(), group, server.clone(), KeepaliveSettings::default()).await? {
        Ok((mut line, _)) => {
            let said = line.call(call).await?;
            f.promotion_state
                .server_queries
                .links
                .lock()
                .unwrap()
                .insert(server.clone(), (addr, now(), line));
            Ok(said)
        }
        // Another server is there now: this one is not.
        Err((RejectReason::WrongServer, _)) => Err(io::ErrorKind::ConnectionRefused.into()),
        // It lives, and says no more.
        Err((no, text)) => Ok(ServerReply { rejection: Some((no, text)), ..Default::default() }),
    }
}

/// Makes a server's log stand still: a replica is suspended, a primary of a lower term leads no more. Its log's end.
pub async fn stand_still(f: &ClusterNode, server: &Name, all: &[Name]) -> Option<Position> {
    let look = ask(f, server, ServerCall::Status).await?;
    let term = f.promotion_state.server_queries.newest(all) + 1;
    let call = match look.role {
        Role::Primary => ServerCall::Demote { term },
        Role::Replica => ServerCall::Suspend { term },
    };
    let held = ask(f, server, call).await?;
    // A primary that was demoted gets nothing more until another is promoted.
    let still = held.role == Role::Replica && (look.role == Role::Primary || held.suspended_term >= term);
    still.then_some(held.received)
}
