//! Reads the suspects in quarantine from the store after a start.

use std::rc::Rc;
use std::time::Duration;

use spdlog::warn;
use tokio::time::sleep;

use super::quarantine::merge_crashes;
use super::saved::{read_saved, retry_delay};
use crate::shared::SharedState;

/// Time after the start after which the table is read. By then the entry knows
/// whether others of its failure domain do that.
const READ_DELAY: Duration = Duration::from_secs(2);

/// Reads the saved suspects once after the start, unless neighbors do and tell this
/// entry.
pub(crate) async fn load_saved_quarantine(shared: Rc<SharedState>) {
    sleep(READ_DELAY).await;
    while shared.must_follow_store() {
        match read_saved(&shared).await {
            Ok(reports) => return merge_crashes(&shared, &reports),
            Err(error) => warn!("crashes: saved suspects cannot be read: {}", error),
        }
        sleep(retry_delay(&shared)).await;
    }
}
