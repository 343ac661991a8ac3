//! Writes to the chain's head, sent again under the same key until they are answered (§5.2).
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_store::{
    AdoptedDocument, Answer, Command, KeeperRequest, KeeperResponse, KeeperStatus, Reply, Request, Store,
    View,
};
use quincehatch_wire::{Caller, Destination, Identity};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A keeper that does not tell its view in this time is passed over.
const LOOK: Duration = Duration::from_millis(400);

pub struct StoreClient {
    keepers: Mutex<Vec<String>>,
    view: Mutex<View>,
    at: Mutex<usize>,
    caller: Arc<Caller>,
}

impl StoreClient {
    /// Asks those keepers, in the name of `me`.
    pub fn new(me: &str, keepers: &[String]) -> Self {
        Self {
            keepers: Mutex::new(keepers.to_vec()),
            view: Mutex::default(),
            at: Mutex::new(0),
            caller: Caller::new(Identity::new(me)),
        }
    }
    /// The settings name other keepers now.
    pub fn set_keepers(&self, keepers: &[String]) {
        if !keepers.is_empty() {
            *self.keepers.lock().unwrap() = keepers.to_vec();
        }
    }
    pub async fn call(&self, addr: &str, ask: Request, within: Duration) -> Result<Reply, Error> {
        let name = self.name_at(addr);
        let to = match &name {
            Some(name) if !matches!(ask, Request::Status) => Destination::process(name, addr),
            // Who is there, and which view it knows, is what is asked.
            _ => Destination::address(addr),
        };
        match self.caller.call(to, &KeeperRequest::Node { request: ask }, within).await? {
            KeeperResponse::Reply { reply } => Ok(reply),
            KeeperResponse::Delivered => {
                Err(ErrorCode::ChainUnavailable.with_detail("an answer that is none"))
            }
        }
    }
    /// The keeper that the view knows at an address.
    fn name_at(&self, addr: &str) -> Option<Name> {
        let view = self.view.lock().unwrap();
        view.voters.iter().find(|machine| machine.addr == addr).map(|machine| machine.name.clone())
    }
    pub fn view(&self) -> View {
        self.view.lock().unwrap().clone()
    }
    pub fn learn_view(&self, v: View) {
        let mut cur = self.view.lock().unwrap();
        if v.version > cur.version {
            *cur = v;
        }
    }
    /// Some keeper, another at each call.
    pub fn next_keeper(&self) -> String {
        let mut at = self.at.lock().unwrap();
        *at += 1;
        let v = self.view();
        let n = v.voters.len().max(1);
        let known = v.voters.get(*at % n).map(|m| m.addr.to_string());
        // The settings' keepers and those of the view take turns: either list may be out of date.
        known.filter(|_| at.is_multiple_of(2)).unwrap_or_else(|| {
            let told = self.keepers.lock().unwrap();
            told[*at % told.len()].clone()
        })
    }
    pub fn head_address(&self) -> String {
        let v = self.view();
        v.head().and_then(|h| v.addr(h)).map_or_else(|| self.next_keeper(), |a| a.to_string())
    }
    pub fn tail_address(&self) -> String {
        let v = self.view();
        v.tail().and_then(|t| v.addr(t)).map_or_else(|| self.next_keeper(), |a| a.to_string())
    }

    /// Writes, wherever the head is by then.
    pub async fn write(&self, key: &str, cmd: Command, within: Duration) -> Result<Answer, Error> {
        let until = now() + within.as_millis() as u64;
        let mut to = self.head_address();
        loop {
            let ask = Request::Write { key: Name::from(key), command: cmd.clone() };
            let left = Duration::from_millis(until.saturating_sub(now()).clamp(1, 9_000));
            // A head that went dark does not even decline: whoever waits on it looks where the head is by now.
            let got = match seam::select_first(self.call(&to, ask, left), self.headed_elsewhere(&to)).await {
                Ok(got) => got,
                Err(head) => {
                    to = head;
                    continue;
                }
            };
            let why = match got {
                Ok(Reply::Answer { answer: Answer::Rejected(b), .. }) => return Err(b),
                Ok(Reply::Answer { answer, .. }) => return Ok(answer),
                Ok(Reply::Redirect { view }) => {
                    self.learn_view(view);
                    if self.head_address() == to {
                        self.refresh_view().await;
                    }
                    ErrorCode::ChainUnavailable.with_detail("the chain is being mended")
                }
                Ok(Reply::Rejected { error: why }) if why.has_code(ErrorCode::ConfigurationInvalid) => {
                    return Err(why);
                }
                Ok(Reply::Rejected { error: why }) => {
                    // A head whose disk refuses declines at once: others may go on without it by now.
                    if why.has_code(ErrorCode::ChainUnavailable) {
                        self.refresh_view().await;
                    }
                    why
                }
                Ok(_) => ErrorCode::ChainUnavailable.with_detail("an answer that is none"),
                Err(b) => {
                    self.refresh_view().await;
                    b
                }
            };
            if now() + 50 >= until {
                return Err(why.with_unknown_outcome().with_retry_after(500));
            }
            seam::sleep(Duration::from_millis(50)).await;
            to = self.head_address();
        }
    }
    /// Ends once some keeper knows of a view whose head is not `to`.
    async fn headed_elsewhere(&self, to: &str) -> String {
        loop {
            seam::sleep(Duration::from_millis(600)).await;
            self.refresh_view().await;
            let head = self.head_address();
            if head != to {
                return head;
            }
        }
    }
    pub async fn refresh_view_from(&self, addr: &str) {
        if let Ok(Reply::Status { status }) = self.call(addr, Request::Status, LOOK).await {
            self.learn_view(status.view);
        }
    }
    /// Asks every keeper that is known, side by side, until one knows of a newer view: whoever is cut off from the
    /// others, or dark, keeps nobody from those that go on (§5.3).
    pub async fn refresh_view(&self) {
        let had = self.view();
        let told = self.keepers.lock().unwrap().clone();
        let mut all: Vec<String> = had.voters.iter().map(|m| m.addr.to_string()).chain(told).collect();
        all.sort();
        all.dedup();
        let asks = all.into_iter().map(|k| async move {
            self.refresh_view_from(&k).await;
            self.view().version > had.version
        });
        seam::any_true(asks).await;
    }
    /// Where to go on after `to` would not do: what another keeper knows is learned first.
    pub async fn tail_after_failure(&self, to: &str) -> String {
        if self.tail_address() == to {
            self.refresh_view().await;
        }
        self.tail_address()
    }

    /// The operator's document in force, from the tail alone: an older one is never given.
    pub async fn read_adopted_document(&self, within: Duration) -> Result<Option<AdoptedDocument>, Error> {
        match self.at_tail(Request::ReadDocument, within).await? {
            Reply::Document { document } => Ok(document),
            _ => Err(ErrorCode::ChainUnavailable.with_detail("an answer that is none")),
        }
    }
    /// All that the chain holds, from the tail alone.
    pub async fn read_store(&self, within: Duration) -> Result<Store, Error> {
        match self.at_tail(Request::ReadStore, within).await? {
            Reply::Store { store } => Ok(*store),
            _ => Err(ErrorCode::ChainUnavailable.with_detail("an answer that is none")),
        }
    }
    async fn at_tail(&self, ask: Request, within: Duration) -> Result<Reply, Error> {
        let until = now() + within.as_millis() as u64;
        loop {
            let asked = now();
            let left = Duration::from_millis(until.saturating_sub(asked).clamp(1, 400));
            let to = self.tail_address();
            match self.call(&to, ask.clone(), left).await {
                Ok(Reply::Redirect { view }) => self.learn_view(view),
                // A process that stood still finds the answer and the end of its patience together: that answer is old.
                Ok(reply)
                    if now() > asked + left.as_millis() as u64 || matches!(reply, Reply::Rejected { .. }) => {
                }
                Ok(reply) => return Ok(reply),
                Err(_) => {}
            }
            self.tail_after_failure(&to).await;
            if now() + 50 >= until {
                return Err(ErrorCode::ChainUnavailable
                    .with_detail("no keeper answers for the chain")
                    .with_retry_after(500));
            }
            seam::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Every keeper's own account, asked side by side.
    pub async fn keeper_statuses(&self) -> Vec<(Name, Name, Option<KeeperStatus>)> {
        if self.view().voters.is_empty() {
            let told = self.keepers.lock().unwrap().clone();
            for k in &told {
                self.refresh_view_from(k).await;
            }
        }
        let asks = self.view().voters.into_iter().map(|m| async move {
            let r = self.call(&m.addr, Request::Status, Duration::from_millis(700)).await;
            let st = r.ok().and_then(|r| match r {
                Reply::Status { status } => Some(status),
                _ => None,
            });
            (m.name, m.addr, st)
        });
        let mut out = Vec::new();
        for a in asks {
            out.push(a.await);
        }
        out
    }
}
