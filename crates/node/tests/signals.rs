//! Handling of signals by the `quincehatch-node` process.
//!
//! Guards against a failure found by soak runs (seeds 1, 4 and 7): the hangup signal that announces a changed settings
//! file was not handled, and its default action ended the process together with the clients' connections.
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const CLIENT_LISTENER: &str = "127.43.0.1:23310";
const TIMEOUT: Duration = Duration::from_secs(20);

struct Node(Child);

impl Node {
    fn start() -> Node {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quincehatch-node"));
        command
            .args(["--name=n1", "--token=t", "--zone=z", "--keeper=127.43.0.1:23311"])
            .args(["--platform=127.43.0.1:23312", "--log=off", "--threads=1"])
            .args([&format!("--client-listener={CLIENT_LISTENER}"), "--operator-listener=127.43.0.1:23313"])
            .args(["--gossip-listener=127.43.0.1:23314"])
            .stderr(Stdio::null());
        let node = Node(command.spawn().unwrap());
        let started_at = Instant::now();
        while TcpStream::connect(CLIENT_LISTENER).is_err() {
            assert!(started_at.elapsed() < TIMEOUT, "the node does not listen");
            std::thread::sleep(Duration::from_millis(20));
        }
        node
    }

    fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_hangup_leaves_the_node_running_and_a_stop_signal_shuts_it_down_gracefully() {
    let mut node = Node::start();
    for _ in 0..3 {
        node.signal("-HUP");
    }
    node.signal("-TERM");
    // The exit status is a success only if the hangups were handled and the stop signal shut the node down gracefully.
    let status = node.0.wait().unwrap();
    assert!(status.success(), "{status}");
}
