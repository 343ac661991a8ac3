//! A relay before a server (§9.2): it delays, loses (as a stream sees loss: a wait for the resend), resets and
//! swallows what passes between nodes and the server.
use crate::stand_in::faults::Faults;
use quincehatch_runtime::rng::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What a lost packet costs a stream: the sender's wait before it sends again.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(250);

/// Relays from `listen` to `to` for ever.
pub async fn start_relay(listen: &str, to: String, f: Arc<Faults>) -> std::io::Result<()> {
    let lst = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        let mut n = 0;
        loop {
            let Ok((a, _)) = lst.accept().await else { continue };
            n += 1;
            tokio::spawn(relay_connection(a, to.clone(), f.clone(), n));
        }
    });
    Ok(())
}

async fn relay_connection(mut a: TcpStream, to: String, f: Arc<Faults>, n: u64) {
    // In a hole not even the greeting gets through.
    f.wait_while(&f.hole).await;
    let Ok(mut b) = TcpStream::connect(&to).await else { return };
    for s in [&a, &b] {
        let _ = s.set_nodelay(true);
        let _ = socket2::SockRef::from(s).set_linger(Some(Duration::ZERO));
    }
    let born = f.cut_count.load(Ordering::SeqCst);
    // Borrowed halves: an owned one would say an orderly farewell when it is dropped, and there would be no reset.
    let (ar, aw) = a.split();
    let (br, bw) = b.split();
    let there = copy_with_faults(ar, bw, f.clone(), Rng::new(n));
    let back = copy_with_faults(br, aw, f.clone(), Rng::new(!n));
    let cut = async {
        loop {
            let changed = f.changed.notified();
            if f.cut_count.load(Ordering::SeqCst) != born {
                return;
            }
            let _ = tokio::time::timeout(Duration::from_millis(200), changed).await;
        }
    };
    // Whichever ends first drops both sides, which resets them.
    tokio::select! { () = there => {}, () = back => {}, () = cut => {} }
}

async fn copy_with_faults(mut r: ReadHalf<'_>, mut w: WriteHalf<'_>, f: Arc<Faults>, mut rng: Rng) {
    let mut buf = vec![0; 16 << 10];
    loop {
        f.wait_while(&f.hole).await;
        let Ok(n @ 1..) = r.read(&mut buf).await else { return };
        // What was read when the hole opened is swallowed with all the rest until it closes.
        f.wait_while(&f.hole).await;
        let delay = f.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        while rng.chance(f.drop_pm.load(Ordering::SeqCst)) {
            tokio::time::sleep(RETRANSMIT_DELAY).await;
        }
        if w.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
