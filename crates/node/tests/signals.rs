//! Signals to `quincehatch-node`, as a process.
//!
//! Soak runs (seeds 1, 4 and 7) found that a node ends when it is told that its settings file has changed: nobody handled
//! the hangup signal, whose default is to end the process, clients' connections with it.
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
        let began = Instant::now();
        while TcpStream::connect(CLIENT_LISTENER).is_err() {
            assert!(began.elapsed() < TIMEOUT, "the node does not listen");
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
fn a_hangup_leaves_the_node_running_and_a_stop_signal_ends_it_in_order() {
    let mut node = Node::start();
    for _ in 0..3 {
        node.signal("-HUP");
    }
    node.signal("-TERM");
    // A node that handles the hangups ends by the stop signal alone, and in order.
    let status = node.0.wait().unwrap();
    assert!(status.success(), "{status}");
}
