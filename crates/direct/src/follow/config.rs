//! Follows the configuration.

use std::rc::Rc;

use clementine_platform::config::{CONFIG_KEY, CONFIG_TABLE, decode_config};
use clementine_platform::store::{ChangeBatch, Row, Snapshot};
use spdlog::error;

use super::table::{TableView, follow};
use crate::shared::SharedState;

/// Follows the configuration until the process ends.
pub(crate) async fn follow_config(shared: Rc<SharedState>) {
    let mut view = ConfigView { shared: Rc::clone(&shared) };
    follow(&shared, CONFIG_TABLE, &shared.config_sync, &mut view).await;
}

struct ConfigView {
    shared: Rc<SharedState>,
}

impl TableView for ConfigView {
    fn note_snapshot(&mut self, snapshot: Snapshot) {
        self.note_rows(&snapshot.rows);
    }

    fn note_changes(&mut self, feed: ChangeBatch) {
        self.note_rows(&feed.rows);
    }
}

impl ConfigView {
    /// Puts the newest configuration among some rows in force. One that can't
    /// be used leaves the last one in force.
    fn note_rows(&self, rows: &[Row]) {
        let configs = rows.iter().filter(|row| row.key.key == CONFIG_KEY && !row.removed);
        let Some(newest) = configs.max_by_key(|row| row.version) else { return };
        match decode_config(&newest.value) {
            Ok(table) => self.shared.apply_config(table),
            Err(error) => {
                error!("config: row version {} is not put in force: {}", newest.version, error);
            }
        }
    }
}
