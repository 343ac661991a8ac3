//! The settings and prepared statements of a session, which are brought to the connection that runs its next statement.
use super::connection::SessionSettings;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Name};
use std::collections::HashMap;

/// Settings, and prepared statements, that one session may have.
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
    /// By the client's names.
    prepared: HashMap<Bytes, PreparedStatement>,
}

impl SessionSetup {
    /// The settings.
    pub fn settings(&self) -> &SessionSettings {
        &self.settings
    }

    /// Sets a setting.
    ///
    /// # Errors
    /// `TooLarge` when the session has as many settings as it may.
    pub fn set(&mut self, name: Bytes, value: Bytes) -> Result<(), Error> {
        if self.settings.len() >= MAX_ENTRIES && !self.settings.contains_key(&name) {
            return Err(ErrorCode::TooLarge.with_detail("too many settings"));
        }
        self.settings.insert(name, value);
        Ok(())
    }

    /// The prepared statement with this name of the client's.
    pub fn prepared(&self, name: &Bytes) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Keeps a prepared statement, in place of an earlier one of that name. It is built only if there is room for it.
    ///
    /// # Errors
    /// `TooLarge` when the session has as many as it may.
    pub fn prepare(&mut self, name: Bytes, build: impl FnOnce() -> PreparedStatement) -> Result<(), Error> {
        if self.prepared.len() >= MAX_ENTRIES && !self.prepared.contains_key(&name) {
            return Err(ErrorCode::TooLarge.with_detail("too many prepared statements"));
        }
        self.prepared.insert(name, build());
        Ok(())
    }

    /// Forgets a prepared statement. Returns false if there was none of that name.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }
}
