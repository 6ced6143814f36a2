//! Object store client.

use std::rc::Rc;

use awc::Client;
use awc::http::StatusCode;
use bytes::Bytes;
use clementine_decide::operation::StoreCallError;
use compact_str::CompactString;

use crate::http::CallLimiter;

/// Maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// An object store. Calls are not retried.
#[expect(async_fn_in_trait, reason = "processes are single-threaded")]
pub trait ObjectStore {
    /// Reads an object, or `None` if it does not exist.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreCallError>;

    /// Writes an object, replacing any existing object of the same name.
    async fn put(&self, name: &str, content: Bytes) -> Result<(), StoreCallError>;
}

/// A bucket of an S3-compatible store, with path-style URLs.
#[derive(Clone)]
pub struct S3Objects {
    client: Client,
    bucket_url: CompactString,
    limiter: Rc<CallLimiter>,
}

impl std::fmt::Debug for S3Objects {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("S3Objects").field("bucket_url", &self.bucket_url).finish_non_exhaustive()
    }
}

impl S3Objects {
    /// Creates a client for a bucket at a URL such as `http://10.0.0.1:9000/clementine`.
    pub fn new(client: Client, bucket_url: &str, limiter: Rc<CallLimiter>) -> Self {
        Self { client, bucket_url: bucket_url.trim_end_matches('/').into(), limiter }
    }

    /// Returns the call limiter.
    pub fn limiter(&self) -> &CallLimiter {
        &self.limiter
    }

    fn url(&self, name: &str) -> String {
        format!("{}/{name}", self.bucket_url)
    }
}

impl ObjectStore for S3Objects {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreCallError> {
        let call = async {
            let request = self.client.get(self.url(name)).timeout(self.limiter.call_timeout());
            let mut response = request.send().await.map_err(|_| StoreCallError::NotApplied)?;
            match response.status() {
                StatusCode::OK => {
                    let body = response.body().limit(MAX_OBJECT_BYTES).await;
                    body.map(Some).map_err(|_| StoreCallError::NotApplied)
                }
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(StoreCallError::NotApplied),
            }
        };
        self.limiter.call(call).await
    }

    async fn put(&self, name: &str, content: Bytes) -> Result<(), StoreCallError> {
        let call = async {
            let request = self.client.put(self.url(name)).timeout(self.limiter.call_timeout());
            let response =
                request.send_body(content).await.map_err(|_| StoreCallError::Indeterminate)?;
            if response.status().is_success() { Ok(()) } else { Err(StoreCallError::Indeterminate) }
        };
        self.limiter.call(call).await
    }
}
