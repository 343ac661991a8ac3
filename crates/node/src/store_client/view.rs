//! The client's copy of the keepers' view, and its refresh from the keepers.
use super::StoreClient;
use quincehatch_core::Name;
use quincehatch_runtime::seam;
use quincehatch_store::{KeeperStatus, Reply, Request, View};
use std::time::Duration;

/// Timeout of a request for a keeper's view.
const VIEW_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request for a keeper's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);

impl StoreClient {
    /// Returns the newest view that any keeper has reported.
    pub fn view(&self) -> View {
        self.view.lock().unwrap().clone()
    }

    /// Replaces the known view if the given one is newer.
    pub fn adopt_view_if_newer(&self, view: View) {
        let mut known = self.view.lock().unwrap();
        if view.version > known.version {
            *known = view;
        }
    }

    /// Returns the address of a keeper, a different one at each call.
    pub fn next_keeper(&self) -> String {
        let mut rotation = self.rotation.lock().unwrap();
        *rotation += 1;
        let view = self.view();
        let voter = view.voters.get(*rotation % view.voters.len().max(1));
        // The keepers of the settings and those of the view alternate, because either list may be out of date.
        if let Some(voter) = voter.filter(|_| rotation.is_multiple_of(2)) {
            return voter.addr.to_string();
        }
        let configured = self.configured_keepers.lock().unwrap();
        configured[*rotation % configured.len()].clone()
    }

    /// Returns the address of the head, which accepts writes, or that of any keeper while no view is known.
    pub fn head_address(&self) -> String {
        let view = self.view();
        let addr = view.head().and_then(|head| view.addr(head));
        addr.map_or_else(|| self.next_keeper(), |addr| addr.to_string())
    }

    /// Returns the address of the tail, which answers reads, or that of any keeper while no view is known.
    pub fn tail_address(&self) -> String {
        let view = self.view();
        let addr = view.tail().and_then(|tail| view.addr(tail));
        addr.map_or_else(|| self.next_keeper(), |addr| addr.to_string())
    }

    /// Requests the view of one keeper, and adopts it if it is newer.
    pub async fn refresh_view_from(&self, addr: &str) {
        if let Ok(Reply::Redirect { view }) = self.call(addr, Request::CurrentView, VIEW_TIMEOUT).await {
            self.adopt_view_if_newer(view);
        }
    }

    /// Requests the views of all known keepers concurrently, and returns once one of them reports a newer view. So a
    /// keeper that is partitioned or unresponsive does not delay the discovery of the others' view.
    pub async fn refresh_view(&self) {
        let known = self.view();
        let configured = self.configured_keepers.lock().unwrap().clone();
        let mut keepers: Vec<String> =
            known.voters.iter().map(|voter| voter.addr.to_string()).chain(configured).collect();
        keepers.sort();
        keepers.dedup();
        let queries = keepers.into_iter().map(|keeper| async move {
            self.refresh_view_from(&keeper).await;
            self.view().version > known.version
        });
        seam::any_true(queries).await;
    }

    /// Returns the address of the tail to use after the one at `failed` failed. Refreshes the view first if the known
    /// tail is still that one.
    pub async fn tail_after_failure(&self, failed: &str) -> String {
        if self.tail_address() == failed {
            self.refresh_view().await;
        }
        self.tail_address()
    }

    /// Returns the name, address and status of every keeper, queried one after the other. The status is `None` for a
    /// keeper that does not answer in time.
    pub async fn keeper_statuses(&self) -> Vec<(Name, Name, Option<KeeperStatus>)> {
        if self.view().voters.is_empty() {
            let configured = self.configured_keepers.lock().unwrap().clone();
            for keeper in &configured {
                self.refresh_view_from(keeper).await;
            }
        }
        let mut statuses = Vec::new();
        for voter in self.view().voters {
            let status = match self.call(&voter.addr, Request::Status, STATUS_TIMEOUT).await {
                Ok(Reply::Status { status }) => Some(status),
                _ => None,
            };
            statuses.push((voter.name, voter.addr, status));
        }
        statuses
    }
}
