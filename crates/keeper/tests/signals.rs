//! Signal handling of the `quincehatch-keeper` process.
//!
//! Guards against a keeper that terminates on SIGHUP because it installs no handler, which soak runs (seeds 1 and 7)
//! found.
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const ADDRESS: &str = "127.43.0.2:23320";
const TIMEOUT: Duration = Duration::from_secs(20);

/// A keeper process, killed on drop.
struct Keeper(Child);

impl Drop for Keeper {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_keeper() -> Keeper {
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
    let started_at = Instant::now();
    while TcpStream::connect(ADDRESS).is_err() {
        assert!(started_at.elapsed() < TIMEOUT, "the keeper does not accept connections");
        std::thread::sleep(Duration::from_millis(20));
    }
    keeper
}

#[test]
fn sighup_leaves_the_keeper_running_and_sigterm_stops_it_with_success() {
    let mut keeper = start_keeper();
    for signal in ["-HUP", "-HUP", "-TERM"] {
        let pid = keeper.0.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }
    let status = keeper.0.wait().unwrap();
    assert!(status.success(), "{status}");
}
