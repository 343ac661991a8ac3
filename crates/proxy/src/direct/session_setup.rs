//! The settings and prepared statements of a session, which are applied to the connection that runs its next statement.
use super::connection::SessionSettings;
use super::session_memory::{PreparedStatement, PreparedTexts, Reservation, SettingsBudget};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode};
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of settings, and of prepared statements, of one session.
const MAX_ENTRIES: usize = 256;
/// The maximum length of the settings of one session, in bytes.
const MAX_SETTINGS_BYTES: usize = 1 << 20;

/// The settings and prepared statements of a session.
#[derive(Default)]
pub(super) struct SessionSetup {
    settings: SessionSettings,
    /// The memory that each setting takes.
    reservations: HashMap<Bytes, Reservation>,
    /// Prepared statements by the client's names.
    prepared: HashMap<Bytes, Arc<PreparedStatement>>,
}

impl SessionSetup {
    /// Returns the settings.
    pub fn settings(&self) -> &SessionSettings {
        &self.settings
    }

    /// Sets a setting.
    ///
    /// # Errors
    /// `TooLarge` when the session has the maximum number of settings, or the budget of all sessions is spent.
    pub fn set(&mut self, budget: &SettingsBudget, name: &[u8], value: &[u8]) -> Result<(), Error> {
        if self.settings.len() >= MAX_ENTRIES && !self.settings.contains_key(name) {
            return Err(ErrorCode::TooLarge.with_detail("too many settings"));
        }
        let others = self.settings.iter().filter(|(other, _)| *other != name);
        let bytes: usize = others.map(|(other, value)| other.len() + value.len()).sum();
        if bytes + name.len() + value.len() > MAX_SETTINGS_BYTES {
            return Err(ErrorCode::TooLarge.with_detail("the settings are too long"));
        }
        let reservation = budget.reserve(name.len() + value.len())?;
        // The client's message is part of a larger buffer, which must not be kept.
        let name = Bytes::copy_from_slice(name);
        self.reservations.insert(name.clone(), reservation);
        self.settings.insert(name, Bytes::copy_from_slice(value));
        Ok(())
    }

    /// Returns the prepared statement to which the client gave this name.
    pub fn prepared(&self, name: &Bytes) -> Option<&Arc<PreparedStatement>> {
        self.prepared.get(name)
    }

    /// Prepares a statement, replacing an earlier one of that name.
    ///
    /// # Errors
    /// `TooLarge` when the session has the maximum number of prepared statements, or the budget of all sessions is spent.
    pub fn prepare(
        &mut self,
        texts: &PreparedTexts,
        name: &[u8],
        write: bool,
        template: &Bytes,
    ) -> Result<(), Error> {
        if self.prepared.len() >= MAX_ENTRIES && !self.prepared.contains_key(name) {
            return Err(ErrorCode::TooLarge.with_detail("too many prepared statements"));
        }
        let statement = texts.prepare(write, template)?;
        self.prepared.insert(Bytes::copy_from_slice(name), statement);
        Ok(())
    }

    /// Removes a prepared statement. Returns false if there was none of that name.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }
}
