//! Checks the keep-alive settings of a socket by reading them back from the kernel.
use quincehatch_wire::http::{KeepaliveExt, KeepaliveSettings};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_socket_carries_keep_alive_and_user_timeout_once_they_are_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    assert_ne!(stream.read_keepalive().unwrap(), KeepaliveSettings::default());
    stream.apply_keepalive(KeepaliveSettings::default()).unwrap();
    let applied = stream.read_keepalive().unwrap();
    assert_eq!((applied.idle.as_secs(), applied.user_timeout.as_secs()), (30, 4));
}
