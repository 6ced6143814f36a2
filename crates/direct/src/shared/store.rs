//! Store client with a rate limit.

use std::cell::RefCell;
use std::time::Duration;

use clementine_decide::circuit::TokenBucket;
use clementine_decide::ids::{StoreEra, StoreVersion};
use clementine_platform::store::{ChangeBatch, Snapshot, StoreClient, StoreError, Transaction};
use clementine_process::clock::Clock;
use spdlog::warn;

/// Sustained rate of calls to the store, per second. An entry in steady state
/// makes one to two. The limit protects a store that responds to polls at once
/// instead of waiting for changes, which would otherwise be polled in a tight
/// loop.
const CALLS_PER_S: f64 = 8.0;
/// Calls that may be made in a burst, at the start and after an idle period.
const BURST: f64 = 24.0;

/// Store client that rejects calls beyond this process's rate limit.
#[derive(Debug)]
pub(crate) struct RateLimitedStore {
    client: StoreClient,
    clock: Clock,
    rate_limit: RefCell<TokenBucket>,
}

impl RateLimitedStore {
    pub(crate) fn new(client: StoreClient, clock: Clock) -> Self {
        Self { client, clock, rate_limit: RefCell::new(TokenBucket::new(CALLS_PER_S, BURST)) }
    }

    /// See [`StoreClient::era`].
    pub(crate) fn era(&self) -> StoreEra {
        self.client.era()
    }

    /// See [`StoreClient::read`].
    pub(crate) async fn read(&self, table: &str) -> Result<Snapshot, StoreError> {
        self.acquire_call(table)?;
        self.client.read(table, "").await
    }

    /// See [`StoreClient::poll_changes`].
    pub(crate) async fn poll_changes(
        &self,
        table: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        self.acquire_call(table)?;
        self.client.poll_changes(table, after, wait).await
    }

    /// See [`StoreClient::commit`].
    pub(crate) async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<StoreVersion, StoreError> {
        self.acquire_call("transaction")?;
        self.client.commit(transaction).await
    }

    /// Takes one call from the rate limit; `target` names the table or operation
    /// in the log.
    fn acquire_call(&self, target: &str) -> Result<(), StoreError> {
        if self.rate_limit.borrow_mut().try_take(self.clock.now()) {
            return Ok(());
        }
        warn!("store: call held back, calls_per_s={} what={}", CALLS_PER_S, target);
        Err(StoreError::RateLimited)
    }
}
