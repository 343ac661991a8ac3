//! Waits for the stop signal; meanwhile reloads the settings file when it changes.
use crate::arguments::{reload_settings, settings_path};
use quincehatch_config::settings::NodeSettings;
use quincehatch_runtime::logging::LogHandle;
use quincehatch_runtime::signals::{ProcessSignal, ProcessSignals};
use std::time::{Duration, SystemTime};

/// Interval at which the settings file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits for the stop signal of the process.
///
/// Meanwhile reloads a changed settings file, on a hangup signal without waiting for the next check. An invalid file is
/// logged, and the last valid settings stay in force. Of a valid file only the log level is applied at once; all other
/// changes need a restart.
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
    let changed = match reload_settings() {
        Ok(Some(settings)) => settings,
        Ok(None) => return,
        Err(error) => {
            log::error!(target: "node", "changed settings are invalid, earlier ones stay in force: {error}");
            return;
        }
    };
    let with_current_log = NodeSettings { log: in_force.log.clone(), ..changed.clone() };
    if with_current_log != *in_force {
        log::warn!(target: "node", "settings changed: all changes but the log level need a restart");
    }
    if changed.log != in_force.log && log.parse_new_spec(&changed.log).is_ok() {
        log::info!(target: "node", "the log level is now {}", changed.log);
    }
    in_force.log = changed.log;
}
