//! Applies a session's settings and prepared statements to the connection that is to run its next statement.
use super::connection::{Connection, ConnectionError, SessionSettings};
use super::monitored_call::CallContext;
use super::session_memory::PreparedStatement;
use crate::ports::ServerCall;
use quincehatch_core::Millis;
use quincehatch_runtime::seam;

/// The maximum number of prepared statements on one connection; a connection with more is reset before its next use.
const MAX_PREPARED: usize = 256;
/// The maximum length of their texts, in bytes.
const MAX_PREPARED_BYTES: usize = 4 << 20;

impl Connection {
    /// Makes the connection's settings equal to `wanted`: no setting of another session may remain in force.
    pub(super) async fn apply_settings(
        &mut self,
        context: &CallContext<'_>,
        wanted: &SessionSettings,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        let skip_reset = seam::injected_bug("held-no-reset") && wanted.is_empty();
        let too_many_prepared =
            self.prepared.len() > MAX_PREPARED || self.prepared_bytes > MAX_PREPARED_BYTES;
        if (self.settings == *wanted || skip_reset) && !too_many_prepared {
            return Ok(());
        }
        let has_foreign = self.settings.keys().any(|name| !wanted.contains_key(name));
        if too_many_prepared || has_foreign {
            self.call_expecting_success(context, &ServerCall::Reset, within).await?;
            self.settings.clear();
            self.clear_prepared();
        }
        self.set_changed(context, wanted, within).await
    }

    /// Sets the settings whose values differ from `wanted`, for instance after a change within a transaction.
    pub(super) async fn set_changed(
        &mut self,
        context: &CallContext<'_>,
        wanted: &SessionSettings,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        for (name, value) in wanted {
            if self.settings.get(name) == Some(value) {
                continue;
            }
            let set = ServerCall::Set { name: name.clone(), value: value.clone() };
            self.call_expecting_success(context, &set, within).await?;
            self.settings.insert(name.clone(), value.clone());
        }
        Ok(())
    }

    /// Prepares a statement unless it is already prepared on this connection.
    pub(super) async fn prepare(
        &mut self,
        context: &CallContext<'_>,
        statement: &PreparedStatement,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        if self.prepared.contains(&statement.name) {
            return Ok(());
        }
        let prepare = ServerCall::Prepare {
            name: statement.name.clone(),
            write: statement.write,
            template: statement.template.clone(),
        };
        self.call_expecting_success(context, &prepare, within).await?;
        self.prepared.insert(statement.name.clone());
        self.prepared_bytes += statement.template.len();
        Ok(())
    }

    /// Sends a call that a correct server does not reject; a rejection is a protocol error.
    async fn call_expecting_success(
        &mut self,
        context: &CallContext<'_>,
        call: &ServerCall,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        let reply = self.call(context, call, within).await?;
        match reply.rejection {
            None => Ok(()),
            Some(_) => Err(ConnectionError::protocol("the server rejected a reset, set or prepare call")),
        }
    }
}
