//! Changes that a table service has lost when it was restored from an older copy.

use std::cell::RefCell;

use clementine_decide::config::LocalConfig;
use clementine_decide::operation::StoreCallError;
use clementine_decide::publish::{
    AppendReply, ConfigHead, ConfigStore, append_lost_changes, lost_changes,
};
use clementine_objects::{Change, ChangeId, ChangeRecord, Object, Priority, Revision, Snapshot};

/// A history of `count` changes; `id` tells histories apart.
fn history(count: u64, id: u128) -> Vec<ChangeRecord> {
    let mut snapshot = Snapshot::default();
    let mut records = Vec::new();
    for n in 1..=count {
        let name = format!("p{n}").parse().expect("valid name");
        let puts = vec![Object::Priority(Priority { name, level: 1 })];
        let change = Change { puts, deletes: Vec::new() };
        let record = ChangeRecord {
            revision: Revision(n),
            id: ChangeId(id + u128::from(n)),
            author: "operator".into(),
            published_unix_ms: 0,
            digest: snapshot.catalog.with_change(&change).digest(),
            change,
        };
        snapshot = snapshot.advance(&record).expect("the next change");
        records.push(record);
    }
    records
}

fn head(record: &ChangeRecord) -> ConfigHead {
    ConfigHead { revision: record.revision, digest: record.digest, change: record.id }
}

fn config_with(records: &[ChangeRecord]) -> LocalConfig {
    let mut local = LocalConfig::default();
    local.apply_changes(records.to_vec()).expect("changes follow each other");
    local
}

#[test]
fn changes_after_the_head_are_lost() {
    let records = history(4, 0);
    let local = config_with(&records);
    assert_eq!(lost_changes(&local, Some(head(&records[1]))), records[2..]);
    assert_eq!(lost_changes(&local, None), records, "the table service is empty");
    assert!(lost_changes(&local, Some(head(&records[3]))).is_empty());
}

#[test]
fn another_history_is_not_continued() {
    let local = config_with(&history(4, 0));
    let other = history(2, 1_000);
    assert!(lost_changes(&local, Some(head(&other[1]))).is_empty());
}

#[test]
fn changes_that_are_not_kept_are_not_put_back() {
    let records = history(4, 0);
    let snapshot =
        records.iter().try_fold(Snapshot::default(), |current, record| current.advance(record));
    let mut local = LocalConfig::default();
    local.apply_snapshot(snapshot.expect("changes follow each other"));
    assert!(lost_changes(&local, Some(head(&records[1]))).is_empty());
}

/// A table service in which another process has appended changes meanwhile.
struct Table {
    newest: RefCell<Revision>,
}

impl ConfigStore for Table {
    async fn head(&self) -> Result<Option<ConfigHead>, StoreCallError> {
        Ok(None)
    }

    async fn append(&self, record: &ChangeRecord) -> Result<AppendReply, StoreCallError> {
        let mut newest = self.newest.borrow_mut();
        if record.revision != newest.next() {
            return Ok(AppendReply::Conflict);
        }
        *newest = record.revision;
        Ok(AppendReply::Written)
    }

    async fn changes(&self, _: Revision, _: Revision) -> Result<Vec<ChangeRecord>, StoreCallError> {
        Ok(Vec::new())
    }
}

#[test]
fn putting_changes_back_stops_at_one_that_another_process_appended() {
    let records = history(4, 0);
    let append = |newest, changes| {
        let table = Table { newest: RefCell::new(Revision(newest)) };
        futures::executor::block_on(append_lost_changes(&table, changes))
    };
    assert_eq!(append(2, &records[2..]), Ok(2));
    assert_eq!(append(3, &records[2..]), Ok(0));
}
