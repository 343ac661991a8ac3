//! A relay before a server: it delays, loses, resets and swallows what passes between nodes and the server.
//!
//! A stream does not see loss itself, only the wait until the lost packet is sent again.
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
/// How often a connection looks for a reset without being notified.
const RESET_POLL: Duration = Duration::from_millis(200);
/// Bytes that are relayed at a time.
const CHUNK: usize = 16 << 10;

/// Relays from `listen` to `to` until the process ends.
pub async fn start_relay(listen: &str, to: String, faults: Arc<Faults>) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        let mut count = 0;
        loop {
            let Ok((client, _)) = listener.accept().await else { continue };
            count += 1;
            tokio::spawn(relay_connection(client, to.clone(), faults.clone(), count));
        }
    });
    Ok(())
}

async fn relay_connection(mut client: TcpStream, to: String, faults: Arc<Faults>, number: u64) {
    // Nothing gets through a hole, not even the handshake.
    faults.wait_while(&faults.hole).await;
    let Ok(mut server) = TcpStream::connect(&to).await else { return };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
    let resets_before = faults.cut_count.load(Ordering::SeqCst);
    // Borrowed halves: an owned one would close in order when it is dropped, and there would be no reset.
    let (client_reader, client_writer) = client.split();
    let (server_reader, server_writer) = server.split();
    let to_server = copy_with_faults(client_reader, server_writer, faults.clone(), Rng::new(number));
    let to_client = copy_with_faults(server_reader, client_writer, faults.clone(), Rng::new(!number));
    let reset = wait_for_reset(&faults, resets_before);
    // Whichever ends first drops both sides, which resets them.
    tokio::select! { () = to_server => {}, () = to_client => {}, () = reset => {} }
}

async fn wait_for_reset(faults: &Faults, resets_before: u64) {
    loop {
        let changed = faults.changed.notified();
        if faults.cut_count.load(Ordering::SeqCst) != resets_before {
            return;
        }
        let _ = tokio::time::timeout(RESET_POLL, changed).await;
    }
}

async fn copy_with_faults(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    faults: Arc<Faults>,
    mut rng: Rng,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        faults.wait_while(&faults.hole).await;
        let Ok(length @ 1..) = reader.read(&mut chunk).await else { return };
        // What was read when the hole opened stays in it until it closes.
        faults.wait_while(&faults.hole).await;
        let delay = faults.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        while rng.chance(faults.drop_pm.load(Ordering::SeqCst)) {
            tokio::time::sleep(RETRANSMIT_DELAY).await;
        }
        if writer.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
