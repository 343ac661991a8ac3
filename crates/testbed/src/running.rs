//! A fleet's running processes (§9.1): started, signalled and ended by id.
use crate::fleet::FleetPlan;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Running processes, ended by id when dropped.
pub struct RunningFleet {
    pub plan: FleetPlan,
    pub children: BTreeMap<String, Child>,
    binaries: PathBuf,
}

impl RunningFleet {
    pub fn start(plan: FleetPlan) -> std::io::Result<RunningFleet> {
        let bin = std::env::current_exe()?.parent().map(Path::to_path_buf).unwrap_or_default();
        let mut r = RunningFleet { plan, children: BTreeMap::new(), binaries: bin };
        for p in r.plan.processes.clone() {
            r.spawn(&p.name, false)?;
        }
        Ok(r)
    }
    /// Starts one process, with what it needs when it is not its first time.
    pub fn spawn(&mut self, name: &str, again: bool) -> std::io::Result<()> {
        let p = self.plan.processes.iter().find(|p| p.name == name).cloned();
        let p = p.ok_or_else(|| std::io::Error::other(format!("no process is called {name}")))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.plan.dir.join(format!("{name}.log")))?;
        let kid = Command::new(self.binaries.join(&p.executable))
            .args(if again { &p.restart_args } else { &p.args })
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children.insert(name.into(), kid);
        Ok(())
    }
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }
    /// Sends a signal by name to one process this runner started.
    pub fn signal(&self, name: &str, sig: &str) {
        if let Some(pid) = self.pid(name) {
            let _ = Command::new("kill").args([&format!("-{sig}"), &pid.to_string()]).status();
        }
    }
    pub fn kill(&mut self, name: &str) {
        if let Some(mut k) = self.children.remove(name) {
            let _ = k.kill();
            let _ = k.wait();
        }
    }
    /// Asks a process to stop and waits a bounded time for it. True when it ended in order.
    pub fn stop(&mut self, name: &str, within: std::time::Duration) -> bool {
        self.signal(name, "TERM");
        let Some(mut k) = self.children.remove(name) else { return false };
        let until = std::time::Instant::now() + within;
        while std::time::Instant::now() < until {
            if let Ok(Some(st)) = k.try_wait() {
                return st.success();
            }
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        let _ = k.kill();
        let _ = k.wait();
        false
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        for k in self.children.values_mut() {
            let _ = k.kill();
        }
        for k in self.children.values_mut() {
            let _ = k.wait();
        }
    }
}
