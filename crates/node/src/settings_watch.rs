//! Waits for the signal to stop; meanwhile a changed settings file is read again.
use crate::arguments::{read_again, settings_path};
use quincehatch_config::settings::NodeSettings;
use quincehatch_runtime::logging::LogHandle;
use quincehatch_runtime::signals::{ProcessSignal, ProcessSignals};
use std::time::{Duration, SystemTime};

/// Time between two looks at the settings file.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until the process is told to stop.
///
/// Meanwhile a changed settings file is validated again, at once on a hangup signal. An invalid one is logged and the last valid one stays in force;
/// of a valid one the log level is applied at once, and everything else waits for a restart.
pub async fn wait_for_stop(settings: &NodeSettings, log: &LogHandle, mut signals: ProcessSignals) {
    let path = settings_path();
    let mut last_modified = modification_time(path.as_deref());
    let mut in_force = settings.clone();
    loop {
        tokio::select! {
            signal = signals.next() => if signal == ProcessSignal::Stop { return },
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        let modified = modification_time(path.as_deref());
        if modified != last_modified {
            last_modified = modified;
            reload(&mut in_force, log);
        }
    }
}

fn modification_time(path: Option<&str>) -> Option<SystemTime> {
    std::fs::metadata(path?).ok()?.modified().ok()
}

fn reload(in_force: &mut NodeSettings, log: &LogHandle) {
    let changed = match read_again() {
        Ok(Some(settings)) => settings,
        Ok(None) => return,
        Err(error) => {
            log::error!(target: "node", "settings changed but stay as they were: {error}");
            return;
        }
    };
    let with_old_log = NodeSettings { log: in_force.log.clone(), ..changed.clone() };
    if with_old_log != *in_force {
        log::warn!(target: "node", "settings changed: all but the log level wait for a restart");
    }
    if changed.log != in_force.log && log.parse_new_spec(&changed.log).is_ok() {
        log::info!(target: "node", "the log level is now {}", changed.log);
    }
    in_force.log = changed.log;
}
