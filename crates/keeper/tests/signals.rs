//! Signals to `quincehatch-keeper`, as a process.
//!
//! Soak runs (seeds 1 and 7) found that a keeper ends on a hangup signal, as nobody handled it.
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const ADDRESS: &str = "127.43.0.2:23320";
const TIMEOUT: Duration = Duration::from_secs(20);

struct Keeper(Child);

impl Drop for Keeper {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start() -> Keeper {
    let dir = std::env::temp_dir().join(format!("quincehatch-keeper-signals-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    let data = dir.join("data");
    let settings = dir.join("keeper.toml");
    let text =
        format!("name = \"k1\"\naddr = \"{ADDRESS}\"\nkeepers = [\"k1={ADDRESS}\"]\ndata_dir = {data:?}\n");
    std::fs::write(&settings, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_quincehatch-keeper"));
    command.arg("--settings").arg(settings).args(["--init", "--log=off"]).stderr(Stdio::null());
    let keeper = Keeper(command.spawn().unwrap());
    let began = Instant::now();
    while TcpStream::connect(ADDRESS).is_err() {
        assert!(began.elapsed() < TIMEOUT, "the keeper does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    keeper
}

#[test]
fn a_hangup_leaves_the_keeper_running_and_a_stop_signal_ends_it_in_order() {
    let mut keeper = start();
    for signal in ["-HUP", "-HUP", "-TERM"] {
        let pid = keeper.0.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }
    let status = keeper.0.wait().unwrap();
    assert!(status.success(), "{status}");
}
