//! What the client knows of the keepers' view, and how it learns of a newer one.
use super::StoreClient;
use quincehatch_core::Name;
use quincehatch_runtime::seam;
use quincehatch_store::{KeeperStatus, Reply, Request, View};
use std::time::Duration;

/// A keeper that does not tell its view by then is passed over.
const VIEW_TIMEOUT: Duration = Duration::from_millis(400);
/// A keeper that does not tell its status by then is reported without one.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);

impl StoreClient {
    /// The newest view that any keeper told.
    pub fn view(&self) -> View {
        self.view.lock().unwrap().clone()
    }

    /// Takes a view if it is newer.
    pub fn learn_view(&self, view: View) {
        let mut known = self.view.lock().unwrap();
        if view.version > known.version {
            *known = view;
        }
    }

    /// The address of some keeper, another at each call.
    pub fn next_keeper(&self) -> String {
        let mut rotation = self.rotation.lock().unwrap();
        *rotation += 1;
        let view = self.view();
        let voter = view.voters.get(*rotation % view.voters.len().max(1));
        // The settings' keepers and those of the view take turns: either list may be out of date.
        if let Some(voter) = voter.filter(|_| rotation.is_multiple_of(2)) {
            return voter.addr.to_string();
        }
        let configured = self.configured_keepers.lock().unwrap();
        configured[*rotation % configured.len()].clone()
    }

    /// The address of the head, which takes writes; some keeper's while no view is known.
    pub fn head_address(&self) -> String {
        let view = self.view();
        let addr = view.head().and_then(|head| view.addr(head));
        addr.map_or_else(|| self.next_keeper(), |addr| addr.to_string())
    }

    /// The address of the tail, which answers reads; some keeper's while no view is known.
    pub fn tail_address(&self) -> String {
        let view = self.view();
        let addr = view.tail().and_then(|tail| view.addr(tail));
        addr.map_or_else(|| self.next_keeper(), |addr| addr.to_string())
    }

    /// Asks one keeper for its view.
    pub async fn refresh_view_from(&self, addr: &str) {
        if let Ok(Reply::Redirect { view }) = self.call(addr, Request::CurrentView, VIEW_TIMEOUT).await {
            self.learn_view(view);
        }
    }

    /// Asks every keeper that is known, side by side, until one knows of a newer view: a keeper that is cut off from the
    /// others, or dark, keeps nobody from those that go on.
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

    /// The address of the tail after the one at `failed` would not do. What other keepers know is asked for first if
    /// that is the only tail known.
    pub async fn tail_after_failure(&self, failed: &str) -> String {
        if self.tail_address() == failed {
            self.refresh_view().await;
        }
        self.tail_address()
    }

    /// Every keeper's name, address and own status, asked one after the other; no status of one that does not answer.
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
