//! Copies of a node that runs without others (§6.4).
use crate::proxy::SessionReplicas;
use crate::session::SessionState;
use quincehatch_core::{Error, Name, Version};
use quincehatch_runtime::seam::BoxFuture;
use std::sync::Mutex;

/// Copies kept on this node alone: for tests, and while a node runs without others.
#[derive(Default)]
pub struct LocalOnlyReplicas {
    held: Mutex<std::collections::BTreeMap<Name, SessionState>>,
}

impl SessionReplicas for LocalOnlyReplicas {
    fn store(&self, c: SessionState) -> BoxFuture<'_, Result<(), Error>> {
        self.held.lock().unwrap().insert(c.id.clone(), c);
        Box::pin(async { Ok(()) })
    }
    fn find<'a>(&'a self, id: &'a str, _: Version) -> BoxFuture<'a, Result<Option<SessionState>, Error>> {
        let c = self.held.lock().unwrap().get(id).cloned();
        Box::pin(async { Ok(c) })
    }
}
