//! The running processes of a fleet, which are started, signalled and ended by process id.
use crate::fleet::FleetPlan;
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a stopping process is checked.
const STOP_POLL: Duration = Duration::from_millis(20);

/// The running processes of a fleet. Dropping it kills them.
pub struct RunningFleet {
    /// The plan of the fleet.
    pub plan: FleetPlan,
    /// Processes by name.
    pub children: BTreeMap<String, Child>,
    binaries: PathBuf,
}

impl RunningFleet {
    /// Starts all processes of a plan; their executables are in the folder of the running one.
    pub fn start(plan: FleetPlan) -> io::Result<RunningFleet> {
        let own_path = std::env::current_exe()?;
        let binaries = own_path.parent().map(Path::to_path_buf).unwrap_or_default();
        let mut fleet = RunningFleet { plan, children: BTreeMap::new(), binaries };
        for process in fleet.plan.processes.clone() {
            fleet.spawn(&process.name, false)?;
        }
        Ok(fleet)
    }

    /// Starts one process; `restart` says that it has run before.
    pub fn spawn(&mut self, name: &str, restart: bool) -> io::Result<()> {
        let process = self.plan.processes.iter().find(|process| process.name == name);
        let process = process.ok_or_else(|| io::Error::other(format!("no process is called {name}")))?;
        let log_path = self.plan.dir.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log_path)?;
        let child = Command::new(self.binaries.join(&process.executable))
            .args(if restart { &process.restart_args } else { &process.args })
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children.insert(name.into(), child);
        Ok(())
    }

    /// Returns the id of a running process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }

    /// Sends the named signal to a process that this runner started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            let _ = Command::new("kill").args([&format!("-{signal}"), &pid.to_string()]).status();
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Terminates a process and waits for its end; returns whether it exited successfully within the time limit.
    pub fn stop(&mut self, name: &str, within: Duration) -> bool {
        self.signal(name, "TERM");
        self.children.remove(name).is_some_and(|child| wait_for_end(child, within))
    }

    /// Removes the processes that have ended and returns their exit statuses.
    pub fn take_ended(&mut self) -> Vec<(String, ExitStatus)> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.children {
            if let Ok(Some(status)) = child.try_wait() {
                ended.push((name.clone(), status));
            }
        }
        for (name, _) in &ended {
            self.children.remove(name);
        }
        ended
    }
}

/// Waits for a process to end and kills it at the time limit; returns whether it exited successfully within the limit.
pub fn wait_for_end(mut child: Child, within: Duration) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if let Ok(Some(status)) = child.try_wait() {
            return status.success();
        }
        thread::sleep(STOP_POLL);
    }
    let _ = child.kill();
    let _ = child.wait();
    false
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
        }
        for child in self.children.values_mut() {
            let _ = child.wait();
        }
    }
}
