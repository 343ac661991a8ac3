//! A transaction of a held session: one link from its first statement to its end (§4.3, §4.10).
use crate::direct::command::{StatementError, StatementResponse};
use crate::direct::connection::{CallContext, Connection, ConnectionError, Values, clean, not_run};
use crate::direct::pool::{self, Checkout};
use crate::direct::run::{Statement, StatementAttempt, acked, lost, once, seen, watched};
use crate::direct::single::{declined, patience, pause, told};
use crate::direct::{DirectProxy, ResolvedRoute, choose};
use crate::in_flight::InFlightGuard;
use crate::ports::{RejectReason, ServerCall, ServerReply, TransactionState};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis};
use quincehatch_runtime::now;

pub enum Transaction {
    /// Begun, but nothing was sent yet.
    Lazy {
        read: bool,
        way: ResolvedRoute,
    },
    Open(Box<Running>),
    /// It failed; ending it rolls back, and anything else is declined.
    Broken,
}

pub struct Running {
    lent: Checkout,
    way: ResolvedRoute,
    wrote: bool,
    on_lead: bool,
    /// Under which its server led when it began.
    fence: FencingToken,
    _work: Option<InFlightGuard>,
}

pub fn aborted(why: &str) -> Error {
    ErrorCode::TransactionLost.with_detail(why).with_retry_after(50)
}

/// How long a statement within a transaction may go unanswered. Nothing of it is committed, so giving it up leaves the
/// origin the time to begin anew; a commit or a write of its own has no such way out.
fn silence(way: &ResolvedRoute) -> Millis {
    (way.aim * 2).clamp(200, way.timeout.max(200))
}

/// Sends BEGIN to a server that fits; what is begun so holds its link.
pub async fn open(
    held: &DirectProxy,
    way: &ResolvedRoute,
    read: bool,
    values: &Values,
) -> Result<Running, Error> {
    let (patient, until) = (now() + patience(way), now() + silence(way));
    let anywhere = read && !way.lead;
    let (mut tried, mut n) = (Vec::new(), 0);
    let mut why = ErrorCode::ConnectionsBusy.without_detail();
    loop {
        let work = (!anywhere).then(|| held.proxy.registry.in_flight.begin(&way.group));
        let place = match anywhere {
            true => choose::lookup(held, way, &tried, false),
            false => {
                let row = choose::lead(held, &way.group, patient).await?;
                Some(choose::ReadTarget { row, floor: None })
            }
        };
        if let Some(choose::ReadTarget { row, floor }) = place {
            let on_lead = floor.is_none();
            match pool::check_out(held, &row, values, way.priority, patient).await {
                Err(e) => why = e.code().without_detail(),
                Ok(lent) if on_lead && choose::takes(held, &way.group, &row).is_none() => lent.check_in(),
                Ok(mut lent) => {
                    let w = watched(held, &row, way);
                    let fence = choose::leads(held, &way.group, &row).unwrap_or_default();
                    let begin = ServerCall::Begin { read, floor };
                    let got = match lent.connection.as_mut() {
                        Some(l) => begun(&w, l, values, &begin, until).await,
                        None => continue,
                    };
                    match got {
                        Ok(s) if s.rejection.is_none() && s.transaction_state == TransactionState::Open => {
                            let way = way.clone();
                            return Ok(Running { lent, way, wrote: false, on_lead, fence, _work: work });
                        }
                        Ok(s) => {
                            if clean(&s) {
                                lent.check_in();
                            }
                            let no = s.rejection.map_or(RejectReason::Other, |n| n.0);
                            if no == RejectReason::NotPrimary && on_lead {
                                row.note_not_primary(now());
                            }
                            why = declined(no);
                        }
                        Err(l) => why = lost(&l, false),
                    }
                }
            }
            tried.push(row);
        } else {
            tried.clear();
        }
        drop(work);
        if now() >= patient {
            // Nothing of the transaction was run.
            return Err(why.with_retry_after(100));
        }
        pause(n).await;
        n += 1;
    }
}

async fn begun(
    w: &CallContext<'_>,
    l: &mut Connection,
    values: &Values,
    c: &ServerCall,
    until: Millis,
) -> Result<ServerReply, ConnectionError> {
    l.suit(w, values, until.saturating_sub(now())).await?;
    l.ask(w, c, until.saturating_sub(now())).await
}

impl Running {
    /// One statement. An error of it leaves the transaction broken unless the server says otherwise.
    pub async fn run(
        mut self: Box<Self>,
        held: &DirectProxy,
        values: &Values,
        s: &Statement,
    ) -> (StatementResponse, Transaction) {
        let until = now() + silence(&self.way);
        let patient = now() + patience(&self.way);
        self.wrote |= s.write;
        let row = self.lent.row.clone();
        let mut n = 0;
        loop {
            let Some(link) = self.lent.connection.as_mut() else {
                return (
                    StatementResponse::failed(aborted("its link is gone"), TransactionState::Failed),
                    Transaction::Broken,
                );
            };
            let under = self.on_lead.then_some((&self.way.group, self.fence));
            let w = CallContext { under, ..watched(held, &row, &self.way) };
            let asked = now();
            match once(&w, link, values, true, s, None, until).await {
                StatementAttempt::Said(said) => {
                    if self.on_lead {
                        seen(held, &self.way, &row, asked, &said);
                    }
                    let no = said.rejection.as_ref().map(|n| n.0);
                    let again =
                        no.is_some_and(|n| matches!(n, RejectReason::Busy | RejectReason::Unprepared));
                    if again && said.transaction_state == TransactionState::Open && now() < patient {
                        pause(n).await;
                        n += 1;
                        continue;
                    }
                    if said.transaction_state == TransactionState::Open {
                        let t = told(said, TransactionState::Open);
                        return (t, Transaction::Open(self));
                    }
                    // What the server rolls back by itself is rolled back; dropping the link makes it certain.
                    return (told(said, TransactionState::Failed), Transaction::Broken);
                }
                // Nothing of it was committed, and closing the link rolls it back.
                StatementAttempt::NotSent(l) | StatementAttempt::Lost(l) => {
                    let why = match l {
                        ConnectionError::Broke(e) => aborted(&e.kind().to_string()),
                        ConnectionError::TimedOut => aborted("no answer in the rule's time"),
                    };
                    return (StatementResponse::failed(why, TransactionState::Failed), Transaction::Broken);
                }
            }
        }
    }

    pub async fn commit(self: Box<Self>, held: &DirectProxy, id: Bytes) -> StatementResponse {
        let Running { mut lent, way, wrote, on_lead, fence, _work } = *self;
        let until = now() + way.timeout;
        let patient = now() + patience(&way);
        let row = lent.row.clone();
        let call = ServerCall::Commit { id };
        let mut n = 0;
        loop {
            let Some(link) = lent.connection.as_mut() else {
                return StatementResponse::failed(aborted("its link is gone"), TransactionState::Idle);
            };
            let under = on_lead.then_some((&way.group, fence));
            let w = CallContext { under, ..watched(held, &row, &way) };
            let asked = now();
            match link.ask(&w, &call, until.saturating_sub(now())).await {
                Ok(said) => {
                    if on_lead {
                        seen(held, &way, &row, asked, &said);
                    }
                    let no = said.rejection.as_ref().map(|n| n.0);
                    if no == Some(RejectReason::Busy)
                        && said.transaction_state == TransactionState::Open
                        && now() < patient
                    {
                        pause(n).await;
                        n += 1;
                        continue;
                    }
                    if clean(&said) {
                        lent.check_in();
                    }
                    if no.is_some_and(not_run) {
                        // It was not run, and its link is rolled back or closed: nothing is kept.
                        return StatementResponse::failed(
                            aborted("the commit was not run"),
                            TransactionState::Idle,
                        );
                    }
                    if wrote {
                        return match acked(held, &way, fence, said) {
                            Ok(said) => told(said, TransactionState::Idle),
                            Err(b) => StatementResponse::failed(b, TransactionState::Idle),
                        };
                    }
                    return told(said, TransactionState::Idle);
                }
                Err(l) if wrote => return StatementResponse::failed(lost(&l, true), TransactionState::Idle),
                Err(_) => {
                    return StatementResponse::failed(aborted("its link broke"), TransactionState::Idle);
                }
            }
        }
    }

    /// Rolls back in the background; the origin need not wait for it.
    pub fn rollback(mut self: Box<Self>, held: std::sync::Arc<DirectProxy>) {
        quincehatch_runtime::seam::spawn(async move {
            let row = self.lent.row.clone();
            let w = watched(&held, &row, &self.way);
            let within = self.way.timeout;
            let got = match self.lent.connection.as_mut() {
                Some(l) => l.ask(&w, &ServerCall::Rollback, within).await,
                None => return,
            };
            if got.is_ok_and(|s| s.rejection.is_none() && clean(&s)) {
                self.lent.check_in();
            }
        });
    }
}

/// What a server said no to in words of its own.
pub fn by_server(t: &StatementResponse) -> bool {
    matches!(t.result, Err(StatementError::Server(..)))
}
