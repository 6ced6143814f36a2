//! Follows the configuration.

use std::rc::Rc;

use clementine_decide::peers::FollowedTable;
use clementine_platform::config::{CONFIG_KEY, CONFIG_TABLE, decode_config};
use clementine_platform::store::{Row, Snapshot};
use spdlog::error;

use super::table::{TableObserver, follow_table};
use crate::shared::SharedState;

/// Follows the configuration until the process ends.
pub(crate) async fn follow_config(shared: Rc<SharedState>) {
    let mut observer = ConfigObserver { shared: Rc::clone(&shared) };
    follow_table(&shared, FollowedTable::Config, CONFIG_TABLE, &mut observer).await;
}

struct ConfigObserver {
    shared: Rc<SharedState>,
}

impl TableObserver for ConfigObserver {
    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        self.apply_rows(&snapshot.rows);
    }

    fn apply_changes(&mut self, rows: &[Row]) {
        self.apply_rows(rows);
    }
}

impl ConfigObserver {
    /// Applies the newest configuration among the rows. If it is invalid, the
    /// current configuration stays in effect.
    fn apply_rows(&self, rows: &[Row]) {
        let configs = rows.iter().filter(|row| row.key.key == CONFIG_KEY && !row.removed);
        let Some(newest) = configs.max_by_key(|row| row.version) else { return };
        match decode_config(&newest.value) {
            Ok(table) => self.shared.apply_config(table, newest.value.clone().into()),
            Err(error) => {
                error!(
                    "config: row version {} is invalid and not applied: {}",
                    newest.version, error
                );
            }
        }
    }
}
