//! Where the states of sessions are kept besides the node that uses them.
use crate::session::state::SessionState;
use quincehatch_core::{Error, Name, Version};
use quincehatch_runtime::seam::BoxFuture;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The replicas of session states.
pub trait SessionReplicas: Send + Sync {
    /// Stores the state on a majority of the session's replicas.
    fn store(&self, state: SessionState) -> BoxFuture<'_, Result<(), Error>>;
    /// The newest state that can be had of those that include the version.
    fn find<'a>(
        &'a self,
        id: &'a str,
        includes: Version,
    ) -> BoxFuture<'a, Result<Option<SessionState>, Error>>;
}

/// Keeps states in this process alone: for tests, and for a node that runs without others.
#[derive(Default)]
pub struct LocalOnlyReplicas {
    states: Mutex<BTreeMap<Name, SessionState>>,
}

impl SessionReplicas for LocalOnlyReplicas {
    fn store(&self, state: SessionState) -> BoxFuture<'_, Result<(), Error>> {
        self.states.lock().unwrap().insert(state.id.clone(), state);
        Box::pin(async { Ok(()) })
    }

    fn find<'a>(&'a self, id: &'a str, _: Version) -> BoxFuture<'a, Result<Option<SessionState>, Error>> {
        let found = self.states.lock().unwrap().get(id).cloned();
        Box::pin(async { Ok(found) })
    }
}
