//! Links and frames between simulated processes (§9.1). A link is a stream: what is lost on it is sent again, a cut
//! delays it, and after four seconds without an acknowledgement the kernel gives it up (§4.4).
use super::core::{Core, Ev, Inner, Pid};
use quincehatch_core::Millis;
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect};
use quincehatch_store::PeerMessage;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::oneshot;

pub struct Visit {
    pub link: u64,
    pub path: String,
    pub body: Value,
    pub token: Option<String>,
}

/// Answers a call; nothing resets the link.
pub type OnHttp = Arc<dyn Fn(Visit) -> BoxFuture<'static, Option<(u16, Value)>> + Send + Sync>;
pub type OnClose = Arc<dyn Fn(u64) + Send + Sync>;
pub type OnFrame = Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync>;
pub type OnPeer = Arc<dyn Fn(Pid, PeerMessage) + Send + Sync>;

pub enum Net {
    Syn(u64),
    SynAck(u64, bool),
    Request(Visit),
    Answer(u64, (u16, Value)),
    /// The link's end, told to its asker or to its answerer.
    Broke(u64),
    Closed(u64),
    Frame {
        rid: u64,
        addr: String,
        bytes: Vec<u8>,
    },
    FrameBack {
        rid: u64,
        got: Option<Vec<u8>>,
    },
    Peer(PeerMessage),
}

pub(super) struct Link {
    pub(super) a: Pid,
    pub(super) b: Pid,
    pub(super) addr: String,
    pub(super) a_open: bool,
    pub(super) b_open: bool,
    pub(super) closed: Arc<AtomicBool>,
    pub(super) on_break: Option<OnDisconnect>,
    pub(super) opening: Option<oneshot::Sender<Result<()>>>,
    pub(super) asking: Option<oneshot::Sender<Result<(u16, Value)>>>,
}

#[derive(Default)]
pub struct Links {
    pub(super) next: u64,
    pub(super) open: BTreeMap<u64, Link>,
    pub(super) frames: BTreeMap<u64, oneshot::Sender<Result<Vec<u8>>>>,
    pub at: BTreeMap<String, Pid>,
    pub(super) http: BTreeMap<String, (OnHttp, OnClose)>,
    pub(super) frame: BTreeMap<String, OnFrame>,
    pub peer: BTreeMap<Pid, OnPeer>,
}

impl Links {
    pub fn clear(&mut self) -> Links {
        std::mem::take(self)
    }
}

/// The kernel gives a stream up that was not acknowledged for so long.
pub(super) const USER_TIMEOUT: Millis = 4_000;
pub(super) const RESEND: Millis = 250;
/// A frame's caller has given up by then.
pub(super) const FRAME: Millis = 1_000;

impl Inner {
    pub fn send(&mut self, from: Pid, to: Pid, n: Net) {
        self.sent += 1;
        let lossy = matches!(n, Net::Peer(_));
        let mut d = self.delay.0 + self.rng.below(self.delay.1 - self.delay.0 + 1);
        while self.rng.chance(self.loss_pm) {
            if lossy {
                return;
            }
            d += RESEND;
        }
        if let Net::Peer(m) = &n
            && self.rng.chance(self.dup_pm)
        {
            let (again, sent) = (Net::Peer(m.clone()), self.now);
            self.at(self.now + d + 3, Ev::Net { from, to, sent, n: again });
        }
        self.at(self.now + d, Ev::Net { from, to, sent: self.now, n });
    }
    /// Every link of a process that died is told so to its other end, unless the machine went dark.
    pub fn drop_links(&mut self, pid: Pid, dark: bool) {
        let of: Vec<u64> =
            self.links.open.iter().filter(|(_, l)| l.a == pid || l.b == pid).map(|(i, _)| *i).collect();
        for id in of {
            let Some(l) = self.links.open.get_mut(&id) else { continue };
            let (a, b) = (l.a, l.b);
            let told = if b == pid { std::mem::replace(&mut l.b_open, false) } else { l.b_open };
            if a == pid {
                l.a_open = false;
                l.closed.store(true, Ordering::SeqCst);
                let gone = (l.opening.take(), l.asking.take(), l.on_break.take());
                self.trash.push(Box::new(gone));
            }
            if !dark && told && a != b {
                let n = if b == pid { Net::Broke(id) } else { Net::Closed(id) };
                self.send(pid, if b == pid { a } else { b }, n);
            }
        }
    }
    /// A server resets all links it answers.
    pub fn reset_links(&mut self, pid: Pid) {
        let of: Vec<u64> =
            self.links.open.iter().filter(|(_, l)| l.b == pid && l.b_open).map(|(i, _)| *i).collect();
        of.into_iter().for_each(|id| self.reset(id));
    }
    pub(super) fn reset(&mut self, id: u64) {
        let Some(l) = self.links.open.get_mut(&id) else { return };
        l.b_open = false;
        let (a, b) = (l.a, l.b);
        self.send(b, a, Net::Broke(id));
    }
}

impl Core {
    pub fn listen_http(&self, addr: &str, pid: Pid, f: OnHttp, closed: OnClose) {
        let mut m = self.lock();
        m.links.at.insert(addr.to_owned(), pid);
        m.links.http.insert(addr.to_owned(), (f, closed));
    }
    pub fn listen_frames(&self, addr: &str, pid: Pid, f: OnFrame) {
        let mut m = self.lock();
        m.links.at.insert(addr.to_owned(), pid);
        m.links.frame.insert(addr.to_owned(), f);
    }
    /// Puts something between an address and what answers frames there.
    pub fn tap_frames(&self, addr: &str, f: impl FnOnce(OnFrame) -> OnFrame) {
        let mut m = self.lock();
        if let Some(had) = m.links.frame.remove(addr) {
            m.links.frame.insert(addr.to_owned(), f(had));
        }
    }
}
