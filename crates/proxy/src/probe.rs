//! STATUS asked of every server about each second, of primaries more often (§4.8, §4.9).
use crate::board::{ServerRow, StatusRow};
use crate::judge::{Sign, ending};
use crate::node::Node;
use crate::server::{Reply, call};
use crate::verdict::Verdict;
use quincehatch_core::{ServerHeartbeat, Millis, Role, ServerState};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{Call, HttpConnection};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a primary and any other server is asked.
pub const PRIMARY: Millis = 250;
pub const OTHER: Millis = 900;
/// How often verdicts are looked at where STATUS is asked elsewhere.
const JUDGE: Duration = Duration::from_millis(100);
/// A STATUS not answered in this time has failed.
const WITHIN: Duration = Duration::from_millis(1_000);

/// Asks for ever; one task a server.
pub async fn run(n: Arc<Node>) {
    let mut tasks: BTreeMap<quincehatch_core::Name, seam::TaskHandle> = BTreeMap::new();
    loop {
        for row in n.board.rows() {
            tasks.entry(row.name.clone()).or_insert_with(|| n.rt.spawn(watch(n.clone(), row.clone())));
        }
        judge(&n);
        seam::sleep(Duration::from_millis(50)).await;
    }
}

/// Time passes for the verdicts: replies become overdue, and idle links have broken.
pub fn judge(n: &Node) {
    let j = n.judges();
    for row in n.board.rows() {
        let left = row.leaving();
        let mut h = row.health.lock().unwrap();
        let had = h.asides;
        // Links of a server that said it leaves may break as they like.
        for e in row.broke.lock().unwrap().drain(..) {
            let end = ending(&e, false, left);
            if h.verdict != Verdict::SetAside {
                h.ended(now(), &j, end);
            }
        }
        h.tick(now(), &j);
        if h.asides > had {
            let why = h.turns.back().map(|t| t.why.clone()).unwrap_or_default();
            log::warn!(target: "verdict", "server {} is set aside: {why}", row.name);
            drop(h);
            row.pool.shut(false);
        }
    }
}

/// Where STATUS is asked by whoever looks after a group (§5.5), every node only judges what it saw itself.
pub async fn judge_on(n: Arc<Node>) {
    loop {
        seam::sleep(JUDGE).await;
        judge(&n);
    }
}

async fn watch(n: Arc<Node>, row: Arc<ServerRow>) {
    let mut wire: Option<(HttpConnection, quincehatch_core::Name)> = None;
    loop {
        let lead = n.board.lead(&row.group());
        let leads = lead.as_ref().is_some_and(|l| l.server.as_ref() == Some(&row.name));
        let asked = now();
        let got = one(&row, &mut wire).await;
        match got {
            Ok(r) => heard(&n, &row, r, asked),
            Err(e) => failed(&n, &row, &e, asked),
        }
        row.pool.sweep();
        let gap = if leads { PRIMARY } else { OTHER };
        seam::sleep(Duration::from_millis((asked + gap).saturating_sub(now()).max(20))).await;
    }
}

async fn one(
    row: &Arc<ServerRow>,
    wire: &mut Option<(HttpConnection, quincehatch_core::Name)>,
) -> std::io::Result<Reply> {
    let addr = row.addr();
    let (path, body) = call::status();
    let c = Call { method: "POST", path, body: &body, token: None };
    let work = async {
        let mut w = match wire.take() {
            Some((w, a)) if a == addr && !w.is_closed() => w,
            _ => HttpConnection::open_watched(&addr, None, row.on_break()).await?,
        };
        let (_, v) = w.ask(&c).await?;
        *wire = Some((w, addr));
        Reply::read(v).ok_or_else(|| std::io::Error::other("not a STATUS reply"))
    };
    seam::timeout(WITHIN, work).await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

impl StatusRow {
    /// Does this primary show all of its log? One that leaves does not say whether it is still starting: it must have
    /// said so before, in this life and under this fence (§4.8).
    pub fn shows_all(&mut self, b: &ServerHeartbeat) -> bool {
        if b.role == Role::Primary && b.state == ServerState::Up {
            self.whole = Some((b.boot, b.fence));
        }
        b.role == Role::Primary && b.state != ServerState::Starting && self.whole == Some((b.boot, b.fence))
    }
}

fn heard(n: &Node, row: &ServerRow, r: Reply, asked: Millis) {
    let Some(st) = r.status().filter(|s| s.stamp.server == row.name) else { return };
    {
        let mut s = row.status.lock().unwrap();
        (s.asked, s.answered, s.failing, s.declined) = (asked, now(), None, false);
    }
    row.note_leaving(st.leaving());
    let group = row.group();
    let lead = n.board.lead(&group);
    let leads =
        lead.as_ref().is_some_and(|l| l.server.as_ref() == Some(&row.name) && l.fence == st.stamp.fence);
    // A primary that is still starting may not show all that its forerunner acknowledged (§3.2).
    let whole = row.status.lock().unwrap().shows_all(&st.beat);
    if leads && st.stamp.role == Role::Primary && whole {
        n.board.note_seen(&group, asked, st.stamp.position);
    }
    let fresh = n.board.seen(&group, |s| s.needed(now(), 1_500)).is_some_and(|p| st.stamp.position >= p);
    let mut h = row.health.lock().unwrap();
    if fresh && h.verdict == Verdict::SetAside {
        h.status_good(now());
        if h.verdict == Verdict::OnTrial {
            log::info!(target: "verdict", "server {} is on trial", row.name);
        }
    }
    drop(h);
    n.board.beat(st.beat);
}

fn failed(n: &Node, row: &ServerRow, e: &std::io::Error, asked: Millis) {
    use std::io::ErrorKind as K;
    let declined = matches!(e.kind(), K::ConnectionRefused);
    {
        let mut s = row.status.lock().unwrap();
        s.asked = asked;
        s.failing = s.failing.or(Some(asked));
        s.declined = declined;
    }
    let j = n.judges();
    let mut h = row.health.lock().unwrap();
    if h.verdict != Verdict::SetAside && !row.leaving() {
        let sign = if e.kind() == K::TimedOut { Sign::Late } else { Sign::Reset };
        h.weigh(now(), &j, sign);
        if h.verdict == Verdict::SetAside {
            log::warn!(target: "verdict", "server {} is set aside: STATUS {}", row.name, e.kind());
        }
    }
}
