//! The store's client, held to this process's share of calls.

use std::cell::RefCell;
use std::time::Duration;

use clementine_decide::circuit::TokenBucket;
use clementine_platform::store::{ChangeBatch, Snapshot, StoreClient, StoreError, Transaction};
use clementine_process::clock::Clock;
use spdlog::warn;

/// Calls to the store in one second, on the long run. An entry in steady state
/// makes one to two; a store that answers at once instead of waiting for
/// changes would else be asked without pause.
const CALLS_PER_S: f64 = 8.0;
/// Calls that may be made at once, at the start and after a quiet time.
const BURST: f64 = 24.0;

/// The store's client, held to this process's share of calls.
#[derive(Debug)]
pub(crate) struct RateLimitedStore {
    client: StoreClient,
    clock: Clock,
    budget: RefCell<TokenBucket>,
}

impl RateLimitedStore {
    pub(crate) fn new(client: StoreClient, clock: Clock) -> Self {
        Self { client, clock, budget: RefCell::new(TokenBucket::new(CALLS_PER_S, BURST)) }
    }

    /// See [`StoreClient::read`].
    pub(crate) async fn read(&self, table: &str) -> Result<Snapshot, StoreError> {
        self.take_call(table)?;
        self.client.read(table, "").await
    }

    /// See [`StoreClient::poll_changes`].
    pub(crate) async fn poll_changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        self.take_call(table)?;
        self.client.poll_changes(table, after, wait).await
    }

    /// See [`StoreClient::commit`].
    pub(crate) async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        self.take_call("transaction")?;
        self.client.commit(transaction).await
    }

    fn take_call(&self, what: &str) -> Result<(), StoreError> {
        if self.budget.borrow_mut().try_take(self.clock.now()) {
            return Ok(());
        }
        warn!("store: call held back, calls_per_s={} what={}", CALLS_PER_S, what);
        Err(StoreError::CallBudgetExceeded)
    }
}
