//! The state machine of a session's transaction: none, begun by the client, open at a server, or failed.
use super::begin::BeginRequest;
use super::transaction::OpenTransaction;
use crate::ports::TransactionState;

/// The state of a session's transaction.
pub(super) enum Transaction {
    /// The client has begun the transaction, and nothing was sent to a server yet.
    Deferred(BeginRequest),
    /// The transaction is open at a server.
    Open(Box<OpenTransaction>),
    /// The transaction failed. A commit or rollback ends it without committing; any other command is rejected.
    Failed,
}

/// The transaction of a session, if it has one.
#[derive(Default)]
pub(super) struct SessionTransaction(Option<Transaction>);

impl SessionTransaction {
    /// Returns the state that is reported to the client.
    pub fn state(&self) -> TransactionState {
        match &self.0 {
            None => TransactionState::Idle,
            Some(Transaction::Failed) => TransactionState::Failed,
            Some(Transaction::Deferred(_) | Transaction::Open(_)) => TransactionState::Open,
        }
    }

    /// Whether the transaction has a server connection checked out.
    pub fn holds_connection(&self) -> bool {
        matches!(self.0, Some(Transaction::Open(_)))
    }

    /// Replaces the state of the transaction.
    pub fn set(&mut self, transaction: Transaction) {
        self.0 = Some(transaction);
    }

    /// Marks the transaction as failed, if there is one.
    pub fn fail(&mut self) {
        if self.0.is_some() {
            self.0 = Some(Transaction::Failed);
        }
    }

    /// Ends the transaction and returns its last state.
    pub fn end(&mut self) -> Option<Transaction> {
        self.0.take()
    }

    /// Takes the transaction out to run one command in it. Until the command has succeeded the transaction counts as
    /// failed, so that after a cancelled command no later statement runs outside the transaction.
    pub fn take_for_command(&mut self) -> Option<Transaction> {
        let transaction = self.0.take();
        if transaction.is_some() {
            self.0 = Some(Transaction::Failed);
        }
        transaction
    }
}
