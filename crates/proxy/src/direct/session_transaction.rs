//! The transaction of a session, as a state machine: none, begun by the client, open at a server, or failed.
use super::begin::BeginRequest;
use super::transaction::OpenTransaction;
use crate::ports::TransactionState;

/// What a session's transaction is in.
pub(super) enum Transaction {
    /// The client has begun it, and nothing was sent to a server yet.
    Deferred(BeginRequest),
    /// It is open at a server.
    Open(Box<OpenTransaction>),
    /// It failed. Ending it rolls back, and any other command is rejected.
    Failed,
}

/// The transaction of a session, if it has one.
#[derive(Default)]
pub(super) struct SessionTransaction(Option<Transaction>);

impl SessionTransaction {
    /// The state as the client sees it.
    pub fn state(&self) -> TransactionState {
        match &self.0 {
            None => TransactionState::Idle,
            Some(Transaction::Failed) => TransactionState::Failed,
            Some(Transaction::Deferred(_) | Transaction::Open(_)) => TransactionState::Open,
        }
    }

    /// Whether it has a server connection checked out.
    pub fn holds_connection(&self) -> bool {
        matches!(self.0, Some(Transaction::Open(_)))
    }

    /// Puts the transaction into this state.
    pub fn set(&mut self, transaction: Transaction) {
        self.0 = Some(transaction);
    }

    /// Fails it, if there is one.
    pub fn fail(&mut self) {
        if self.0.is_some() {
            self.0 = Some(Transaction::Failed);
        }
    }

    /// Ends it.
    pub fn end(&mut self) -> Option<Transaction> {
        self.0.take()
    }

    /// Takes the transaction out for one step of it. Until the step has succeeded the session counts as failed, so that
    /// after a cancelled step nothing runs outside the transaction.
    pub fn take_for_step(&mut self) -> Option<Transaction> {
        let transaction = self.0.take();
        if transaction.is_some() {
            self.0 = Some(Transaction::Failed);
        }
        transaction
    }
}
