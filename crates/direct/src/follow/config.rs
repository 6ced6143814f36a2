//! Follows the configuration.

use std::rc::Rc;

use clementine_platform::config::{CONFIG_KEY, CONFIG_TABLE, decode_config};
use clementine_platform::store::{ChangeBatch, Row, Snapshot};
use spdlog::error;

use super::table::{TableView, follow};
use crate::hub::Hub;

/// Follows the configuration until the process ends.
pub(crate) async fn follow_config(hub: Rc<Hub>) {
    let mut view = ConfigView { hub: Rc::clone(&hub) };
    follow(&hub, CONFIG_TABLE, &hub.config_sync, &mut view).await;
}

struct ConfigView {
    hub: Rc<Hub>,
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
            Ok(table) => self.hub.apply_config(table),
            Err(error) => {
                error!("config: row version {} is not put in force: {}", newest.version, error);
            }
        }
    }
}
