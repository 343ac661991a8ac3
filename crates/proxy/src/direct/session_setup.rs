//! The settings and prepared statements of a session, which are applied to the connection that runs its next statement.
use super::connection::SessionSettings;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Name};
use std::collections::HashMap;

/// The maximum number of settings, and of prepared statements, of one session.
const MAX_ENTRIES: usize = 256;

/// A prepared statement under the proxy's own name for it.
#[derive(Clone, Debug)]
pub(super) struct PreparedStatement {
    pub name: Name,
    pub write: bool,
    pub template: Bytes,
}

/// The settings and prepared statements of a session.
#[derive(Default)]
pub(super) struct SessionSetup {
    settings: SessionSettings,
    /// Prepared statements by the client's names.
    prepared: HashMap<Bytes, PreparedStatement>,
}

impl SessionSetup {
    /// Returns the settings.
    pub fn settings(&self) -> &SessionSettings {
        &self.settings
    }

    /// Sets a setting.
    ///
    /// # Errors
    /// `TooLarge` when the session has the maximum number of settings.
    pub fn set(&mut self, name: Bytes, value: Bytes) -> Result<(), Error> {
        if self.settings.len() >= MAX_ENTRIES && !self.settings.contains_key(&name) {
            return Err(ErrorCode::TooLarge.with_detail("too many settings"));
        }
        self.settings.insert(name, value);
        Ok(())
    }

    /// Returns the prepared statement to which the client gave this name.
    pub fn prepared(&self, name: &Bytes) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Stores a prepared statement, replacing an earlier one of that name. `build` is called only if the session may
    /// have another one.
    ///
    /// # Errors
    /// `TooLarge` when the session has the maximum number of prepared statements.
    pub fn prepare(&mut self, name: Bytes, build: impl FnOnce() -> PreparedStatement) -> Result<(), Error> {
        if self.prepared.len() >= MAX_ENTRIES && !self.prepared.contains_key(&name) {
            return Err(ErrorCode::TooLarge.with_detail("too many prepared statements"));
        }
        self.prepared.insert(name, build());
        Ok(())
    }

    /// Removes a prepared statement. Returns false if there was none of that name.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }
}
