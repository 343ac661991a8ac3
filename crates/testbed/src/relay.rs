//! A relay in front of a server that delays, loses, resets or holds back the traffic between nodes and the server.
//!
//! A TCP stream does not see a lost packet itself, only the delay until the packet is retransmitted.
use crate::stand_in::faults::Faults;
use quincehatch_runtime::rng::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Delay of a stream by a lost packet: the sender's wait before it retransmits.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a connection checks for a reset without a notification.
const RESET_POLL: Duration = Duration::from_millis(200);
/// Largest number of bytes that are relayed at a time.
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
    // The `hole` fault holds back all traffic, including the connection setup.
    faults.wait_while(&faults.hole).await;
    let Ok(mut server) = TcpStream::connect(&to).await else { return };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
    let resets_before = faults.cut_count.load(Ordering::SeqCst);
    // The halves are borrowed because an owned half closes the connection gracefully when it is dropped, without a
    // reset.
    let (client_reader, client_writer) = client.split();
    let (server_reader, server_writer) = server.split();
    let to_server = copy_with_faults(client_reader, server_writer, faults.clone(), Rng::new(number));
    let to_client = copy_with_faults(server_reader, client_writer, faults.clone(), Rng::new(!number));
    let reset = wait_for_reset(&faults, resets_before);
    // The first future that ends drops both streams, which resets them.
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
        // Data read before the fault became active is held back until the fault ends.
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
