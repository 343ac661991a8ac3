//! The replicas of session states at other nodes than the one that uses the session.
use crate::session::state::SessionState;
use quincehatch_core::{Error, Name, Version};
use quincehatch_runtime::seam::BoxFuture;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Stores and finds replicas of session states.
pub trait SessionReplicas: Send + Sync {
    /// Stores the state on a majority of the session's replicas.
    fn store(&self, state: SessionState) -> BoxFuture<'_, Result<(), Error>>;
    /// Finds the newest available state that includes the version.
    fn find<'a>(
        &'a self,
        id: &'a str,
        includes: Version,
    ) -> BoxFuture<'a, Result<Option<SessionState>, Error>>;
}

/// Stores states in this process only, for tests and for a node that runs alone.
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
