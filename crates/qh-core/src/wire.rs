//! Frames between the project's own processes: a length, then borsh (§2.6).
use crate::{Code, Error};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest frame taken; a longer one ends the link.
pub const FRAME_MAX: usize = 4 << 20;
/// Idle links kept for each peer.
const IDLE_MAX: usize = 8;

pub trait FrameExt {
    fn put_msg<T: BorshSerialize + Sync>(
        &mut self,
        m: &T,
    ) -> impl Future<Output = std::io::Result<()>> + Send;
    fn take_msg<T: BorshDeserialize>(&mut self) -> impl Future<Output = std::io::Result<T>> + Send;
}

fn bad(why: impl std::fmt::Display) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, why.to_string())
}

impl FrameExt for TcpStream {
    async fn put_msg<T: BorshSerialize + Sync>(&mut self, m: &T) -> std::io::Result<()> {
        let mut buf = vec![0; 4];
        m.serialize(&mut buf)?;
        let n = buf.len() - 4;
        if n > FRAME_MAX {
            return Err(bad("frame too long"));
        }
        buf[..4].copy_from_slice(&(n as u32).to_le_bytes());
        self.write_all(&buf).await
    }
    async fn take_msg<T: BorshDeserialize>(&mut self) -> std::io::Result<T> {
        let n = self.read_u32_le().await? as usize;
        if n > FRAME_MAX {
            return Err(bad("frame too long"));
        }
        let mut buf = vec![0; n];
        self.read_exact(&mut buf).await?;
        borsh::from_slice(&buf).map_err(bad)
    }
}

/// Calls to other processes; keeps a few idle links a peer.
#[derive(Clone, Default)]
pub struct Caller {
    idle: Arc<Mutex<HashMap<String, Vec<TcpStream>>>>,
}

impl Caller {
    /// One question, one answer. A kept link that proves dead is replaced once, before anything was read.
    pub async fn call<Q, R>(&self, addr: &str, q: &Q, within: Duration) -> Result<R, Error>
    where
        Q: BorshSerialize + Sync,
        R: BorshDeserialize,
    {
        let gone = |e: std::io::Error| Code::Unreachable.because(format_args!("{addr}: {e}"));
        if let Some(w) = crate::rt::world() {
            let work = async {
                let back = w.call(addr, borsh::to_vec(q).map_err(gone)?).await.map_err(gone)?;
                borsh::from_slice(&back).map_err(|e| gone(bad(e)))
            };
            return crate::rt::timeout(within, work).await.unwrap_or_else(|_| {
                Err(Code::Unreachable.because(format_args!("{addr}: no answer in time")))
            });
        }
        let work = async {
            let kept = self.idle.lock().unwrap().get_mut(addr).and_then(Vec::pop);
            if let Some(mut s) = kept
                && s.put_msg(q).await.is_ok()
                && let Ok(r) = s.take_msg::<R>().await
            {
                self.keep(addr, s);
                return Ok(r);
            }
            let mut s = TcpStream::connect(addr).await.map_err(gone)?;
            s.set_nodelay(true).map_err(gone)?;
            s.put_msg(q).await.map_err(gone)?;
            let r = s.take_msg::<R>().await.map_err(gone)?;
            self.keep(addr, s);
            Ok(r)
        };
        tokio::time::timeout(within, work)
            .await
            .unwrap_or_else(|_| Err(Code::Unreachable.because(format_args!("{addr}: no answer in time"))))
    }

    fn keep(&self, addr: &str, s: TcpStream) {
        let mut idle = self.idle.lock().unwrap();
        let v = idle.entry(addr.to_owned()).or_default();
        if v.len() < IDLE_MAX {
            v.push(s);
        }
    }
}

/// Answers frames on `lst` until the task is dropped; at most `max` links at once.
pub async fn answer<Q, R, F, Fut>(lst: TcpListener, max: usize, f: F)
where
    Q: BorshDeserialize + Send + 'static,
    R: BorshSerialize + Send + Sync + 'static,
    F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = R> + Send,
{
    let room = Arc::new(tokio::sync::Semaphore::new(max));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let Ok((mut s, _)) = lst.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let f = f.clone();
        tokio::spawn(async move {
            let _room = permit;
            let _ = s.set_nodelay(true);
            while let Ok(q) = s.take_msg::<Q>().await {
                let r = f(q).await;
                if s.put_msg(&r).await.is_err() {
                    return;
                }
            }
        });
    }
}
