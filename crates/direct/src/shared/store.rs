//! Store client with a rate limit.

use std::cell::RefCell;
use std::time::Duration;

use clementine_decide::circuit::TokenBucket;
use clementine_decide::ids::{StoreEra, StoreVersion};
use clementine_platform::store::{ChangeBatch, Snapshot, StoreClient, StoreError, Transaction};
use clementine_process::clock::Clock;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
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
    calls: Counter<u64>,
}

impl RateLimitedStore {
    pub(crate) fn new(client: StoreClient, clock: Clock, calls: Counter<u64>) -> Self {
        let rate_limit = RefCell::new(TokenBucket::new(CALLS_PER_S, BURST));
        Self { client, clock, rate_limit, calls }
    }

    /// See [`StoreClient::era`].
    pub(crate) fn era(&self) -> StoreEra {
        self.client.era()
    }

    /// See [`StoreClient::read`].
    pub(crate) async fn read(&self, table: &str) -> Result<Snapshot, StoreError> {
        self.acquire_call("read", table)?;
        self.client.read(table, "").await
    }

    /// See [`StoreClient::poll_changes`].
    pub(crate) async fn poll_changes(
        &self,
        table: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        self.acquire_call("poll", table)?;
        self.client.poll_changes(table, after, wait).await
    }

    /// See [`StoreClient::commit`].
    pub(crate) async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<StoreVersion, StoreError> {
        self.acquire_call("commit", "transaction")?;
        self.client.commit(transaction).await
    }

    /// Takes one call from the rate limit; `operation` and `target` name it in
    /// metrics and logs.
    fn acquire_call(&self, operation: &'static str, target: &str) -> Result<(), StoreError> {
        if self.rate_limit.borrow_mut().try_take(self.clock.now()) {
            let labels =
                [KeyValue::new("operation", operation), KeyValue::new("table", target.to_owned())];
            self.calls.add(1, &labels);
            return Ok(());
        }
        warn!("store: call held back, calls_per_s={} what={}", CALLS_PER_S, target);
        Err(StoreError::RateLimited)
    }
}
