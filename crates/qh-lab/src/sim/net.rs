//! Links and frames between simulated processes (§9.1). A link is a stream: what is lost on it is sent again, a cut
//! delays it, and after ten seconds without an acknowledgement the kernel gives it up (§4.4).
use super::core::{Core, Ev, Inner, Pid};
use qh_core::Ms;
use qh_core::rt::{Fut, OnBreak, Pipe, World};
use qh_state::PeerMsg;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Waker;
use tokio::sync::oneshot;

pub struct Visit {
    pub link: u64,
    pub path: String,
    pub body: Value,
    pub token: Option<String>,
}

/// Answers a call; nothing resets the link.
pub type OnHttp = Arc<dyn Fn(Visit) -> Fut<'static, Option<(u16, Value)>> + Send + Sync>;
pub type OnClose = Arc<dyn Fn(u64) + Send + Sync>;
pub type OnFrame = Arc<dyn Fn(Vec<u8>) -> Fut<'static, Option<Vec<u8>>> + Send + Sync>;
pub type OnPeer = Arc<dyn Fn(Pid, PeerMsg) + Send + Sync>;

pub enum Net {
    Syn(u64),
    SynAck(u64, bool),
    Ask(Visit),
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
    Peer(PeerMsg),
}

struct Link {
    a: Pid,
    b: Pid,
    addr: String,
    a_open: bool,
    b_open: bool,
    closed: Arc<AtomicBool>,
    on_break: Option<OnBreak>,
    opening: Option<oneshot::Sender<Result<()>>>,
    asking: Option<oneshot::Sender<Result<(u16, Value)>>>,
}

#[derive(Default)]
pub struct Links {
    next: u64,
    open: BTreeMap<u64, Link>,
    frames: BTreeMap<u64, oneshot::Sender<Result<Vec<u8>>>>,
    pub at: BTreeMap<String, Pid>,
    http: BTreeMap<String, (OnHttp, OnClose)>,
    frame: BTreeMap<String, OnFrame>,
    pub peer: BTreeMap<Pid, OnPeer>,
}

impl Links {
    pub fn clear(&mut self) -> Links {
        std::mem::take(self)
    }
}

/// The kernel gives a stream up that was not acknowledged for so long.
const USER_TIMEOUT: Ms = 10_000;
const RESEND: Ms = 250;
/// A frame's caller has given up by then.
const FRAME: Ms = 1_000;

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
    fn reset(&mut self, id: u64) {
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

    pub(super) fn arrive(self: &Arc<Self>, from: Pid, to: Pid, sent: Ms, n: Net) {
        let mut m = self.lock();
        let now = m.now;
        let (up, dark, paused) = (m.hosts[to].up, m.hosts[to].dark, m.hosts[to].paused_until);
        let lost = m.cuts.contains(&(from, to)) || (!up && dark);
        if lost {
            let most =
                if matches!(n, Net::Frame { .. } | Net::FrameBack { .. }) { FRAME } else { USER_TIMEOUT };
            match n {
                Net::Peer(_) => {}
                n if now < sent + most => drop(m.at(now + RESEND, Ev::Net { from, to, sent, n })),
                Net::Syn(id) | Net::Ask(Visit { link: id, .. }) => {
                    drop(m);
                    self.broke(id, ErrorKind::TimedOut);
                }
                _ => {}
            }
            return;
        }
        if up && paused > now {
            m.at(paused, Ev::Net { from, to, sent, n });
            return;
        }
        match n {
            Net::Peer(p) => {
                let f = m.links.peer.get(&to).cloned().filter(|_| up);
                drop(m);
                if let Some(f) = f {
                    self.within(to, || f(from, p));
                }
            }
            Net::Syn(id) => {
                let ok = up && m.links.open.get(&id).is_some_and(|l| m.links.http.contains_key(&l.addr));
                if let Some(l) = m.links.open.get_mut(&id) {
                    l.b_open = ok;
                }
                m.send(to, from, Net::SynAck(id, ok));
            }
            Net::SynAck(id, ok) => {
                let Some(l) = m.links.open.get_mut(&id) else { return };
                let tx = l.opening.take();
                if !ok && let Some(l) = m.links.open.remove(&id) {
                    m.trash.push(Box::new(l));
                }
                drop(m);
                let r = if ok { Ok(()) } else { Err(Error::from(ErrorKind::ConnectionRefused)) };
                drop(tx.map(|tx| tx.send(r)));
            }
            Net::Ask(v) => {
                let Some(l) = m.links.open.get(&v.link) else { return };
                let (id, open, f) = (v.link, l.b_open && up, m.links.http.get(&l.addr).map(|h| h.0.clone()));
                let Some(f) = f.filter(|_| open) else { return m.send(to, from, Net::Broke(id)) };
                drop(m);
                self.within(to, || {
                    let (core, fut) = (self.clone(), f(v));
                    let work = async move {
                        let got = fut.await;
                        let mut m = core.lock();
                        match got {
                            Some(r) if m.links.open.get(&id).is_some_and(|l| l.b_open) => {
                                m.send(to, from, Net::Answer(id, r));
                            }
                            Some(_) => {}
                            None => m.reset(id),
                        }
                    };
                    qh_core::rt::spawn(work)
                });
            }
            Net::Answer(id, r) => {
                let tx = m.links.open.get_mut(&id).and_then(|l| l.asking.take());
                drop(m);
                drop(tx.map(|tx| tx.send(Ok(r))));
            }
            Net::Broke(id) => {
                drop(m);
                self.broke(id, ErrorKind::ConnectionReset);
            }
            Net::Closed(id) => {
                let Some(l) = m.links.open.remove(&id) else { return };
                let f = m.links.http.get(&l.addr).map(|h| h.1.clone()).filter(|_| up);
                drop(m);
                if let Some(f) = f {
                    self.within(to, || f(id));
                }
            }
            Net::Frame { rid, addr, bytes } => {
                let f = m.links.frame.get(&addr).cloned().filter(|_| up);
                let Some(f) = f else { return m.send(to, from, Net::FrameBack { rid, got: None }) };
                drop(m);
                self.within(to, || {
                    let (core, fut) = (self.clone(), f(bytes));
                    qh_core::rt::spawn(async move {
                        let got = fut.await;
                        core.lock().send(to, from, Net::FrameBack { rid, got });
                    })
                });
            }
            Net::FrameBack { rid, got } => {
                let tx = m.links.frames.remove(&rid);
                drop(m);
                drop(tx.map(|tx| tx.send(got.ok_or_else(|| ErrorKind::ConnectionRefused.into()))));
            }
        }
    }

    /// The asker's end of a link breaks.
    fn broke(self: &Arc<Self>, id: u64, kind: ErrorKind) {
        let mut m = self.lock();
        let Some(l) = m.links.open.remove(&id) else { return };
        let closed = m.links.http.get(&l.addr).map(|h| h.1.clone()).filter(|_| m.hosts[l.b].up);
        drop(m);
        l.closed.store(true, Ordering::SeqCst);
        drop(l.opening.map(|tx| tx.send(Err(kind.into()))));
        match (l.asking, l.on_break) {
            (Some(tx), _) => drop(tx.send(Err(kind.into()))),
            (None, Some(f)) if l.a_open => self.within(l.a, || f(kind.into())),
            _ => {}
        }
        if let Some(f) = closed {
            self.within(l.b, || f(id));
        }
    }
}

/// A process's view of the world: its clock, its tasks, its links.
pub struct HostWorld {
    pub core: Arc<Core>,
    pub pid: Pid,
    pub life: u64,
}

struct VPipe {
    core: Arc<Core>,
    id: u64,
    a: Pid,
    b: Pid,
    closed: Arc<AtomicBool>,
}

impl Pipe for VPipe {
    fn ask(&self, path: String, body: Value, token: Option<String>) -> Fut<'_, Result<(u16, Value)>> {
        let (tx, rx) = oneshot::channel();
        let gone = || Error::from(ErrorKind::ConnectionReset);
        {
            let mut m = self.core.lock();
            if let Some(l) = m.links.open.get_mut(&self.id).filter(|l| l.a_open) {
                l.asking = Some(tx);
                m.send(self.a, self.b, Net::Ask(Visit { link: self.id, path, body, token }));
            }
        }
        Box::pin(async move { rx.await.unwrap_or_else(|_| Err(gone())) })
    }
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
    fn close(&self) {
        let mut m = self.core.lock();
        let Some(l) = m.links.open.get_mut(&self.id) else { return };
        if std::mem::replace(&mut l.a_open, false) {
            let gone = (l.opening.take(), l.asking.take(), l.on_break.take());
            m.trash.push(Box::new(gone));
            m.send(self.a, self.b, Net::Closed(self.id));
        }
    }
}

/// Closes a link whose opening was given up.
struct Opening(Option<Arc<VPipe>>);
impl Drop for Opening {
    fn drop(&mut self) {
        if let Some(p) = self.0.take() {
            p.close();
        }
    }
}

impl World for HostWorld {
    fn now(&self) -> Ms {
        self.core.lock().local(self.pid)
    }
    fn wall_ms(&self) -> u64 {
        self.core.lock().now + 1_000_000
    }
    fn wake_at(&self, at: Ms, w: Waker) -> u64 {
        self.core.wake_at(self.pid, at, w)
    }
    fn cancel(&self, timer: u64) {
        self.core.cancel(timer);
    }
    fn spawn(&self, f: Fut<'static, ()>) {
        self.core.spawn(self.pid, self.life, f);
    }
    fn open(&self, addr: &str, on_break: OnBreak) -> Fut<'static, Result<Arc<dyn Pipe>>> {
        let (tx, rx) = oneshot::channel();
        let mut m = self.core.lock();
        let Some(b) = m.links.at.get(addr).copied() else {
            return Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) });
        };
        m.links.next += 1;
        let (id, a, closed) = (m.links.next, self.pid, Arc::new(AtomicBool::new(false)));
        let (addr, on_break, opening) = (addr.to_owned(), Some(on_break), Some(tx));
        let l = Link {
            a,
            b,
            addr,
            a_open: true,
            b_open: false,
            closed: closed.clone(),
            on_break,
            opening,
            asking: None,
        };
        m.links.open.insert(id, l);
        m.send(a, b, Net::Syn(id));
        drop(m);
        let pipe = Arc::new(VPipe { core: self.core.clone(), id, a, b, closed });
        Box::pin(async move {
            let mut guard = Opening(Some(pipe));
            rx.await.unwrap_or_else(|_| Err(ErrorKind::ConnectionReset.into()))?;
            guard.0.take().map(|p| p as Arc<dyn Pipe>).ok_or_else(|| ErrorKind::ConnectionReset.into())
        })
    }
    fn call(&self, addr: &str, bytes: Vec<u8>) -> Fut<'static, Result<Vec<u8>>> {
        let (tx, rx) = oneshot::channel();
        let mut m = self.core.lock();
        let Some(b) = m.links.at.get(addr).copied() else {
            return Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) });
        };
        m.links.next += 1;
        let rid = m.links.next;
        m.links.frames.insert(rid, tx);
        m.send(self.pid, b, Net::Frame { rid, addr: addr.to_owned(), bytes });
        Box::pin(async move { rx.await.unwrap_or_else(|_| Err(ErrorKind::ConnectionReset.into())) })
    }
    fn broken(&self, bug: &str) -> bool {
        self.core.has_bug(bug)
    }
}
