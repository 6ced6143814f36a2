//! Guards against a change being reported as accepted when it is not in the
//! history, or as not accepted when it is, and against concurrent changes of one
//! object both being accepted. Random interleavings of concurrent publishers
//! include lost responses and delayed writes of the table service.

mod support;

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use clementine_decide::operation::StoreCallError;
use clementine_decide::publish::{
    AppendReply, ConfigHead, ConfigStore, Publication, PublishError, PublishLimits, Published,
    publish,
};
use clementine_objects::{
    Change, ChangeId, ChangeRecord, Object, ObjectRef, Priority, Revision, Snapshot,
    validate_catalog,
};
use futures::channel::oneshot;
use futures::task::noop_waker;
use support::Choices;

/// Concurrent publishers in one interleaving.
const PUBLISHERS: usize = 3;

/// The simulated store. The head is the last record of the history.
#[derive(Debug, Default)]
struct Store {
    history: Vec<ChangeRecord>,
    delayed: Vec<ChangeRecord>,
    calls: Vec<Call>,
}

#[derive(Debug)]
enum Call {
    Head(oneshot::Sender<Result<Option<ConfigHead>, StoreCallError>>),
    Append(ChangeRecord, oneshot::Sender<Result<AppendReply, StoreCallError>>),
    Changes(Revision, Revision, oneshot::Sender<Result<Vec<ChangeRecord>, StoreCallError>>),
}

#[derive(Debug, Clone, Default)]
struct SharedStore(Rc<RefCell<Store>>);

impl SharedStore {
    async fn call<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T, StoreCallError>>) -> Call,
    ) -> Result<T, StoreCallError> {
        let (reply, receiver) = oneshot::channel();
        self.0.borrow_mut().calls.push(call(reply));
        receiver.await.unwrap_or(Err(StoreCallError::Indeterminate))
    }
}

impl ConfigStore for SharedStore {
    async fn head(&self) -> Result<Option<ConfigHead>, StoreCallError> {
        self.call(Call::Head).await
    }

    async fn append(&self, record: &ChangeRecord) -> Result<AppendReply, StoreCallError> {
        self.call(|reply| Call::Append(record.clone(), reply)).await
    }

    async fn changes(
        &self,
        after: Revision,
        up_to: Revision,
    ) -> Result<Vec<ChangeRecord>, StoreCallError> {
        self.call(|reply| Call::Changes(after, up_to, reply)).await
    }
}

impl Store {
    fn append(&mut self, record: &ChangeRecord) -> AppendReply {
        if record.revision.0 != self.history.len() as u64 + 1 {
            return AppendReply::Conflict;
        }
        self.history.push(record.clone());
        AppendReply::Written
    }

    fn head(&self) -> Option<ConfigHead> {
        let last = self.history.last()?;
        Some(ConfigHead { revision: last.revision, digest: last.digest, change: last.id })
    }

    fn resolve(&mut self, call: Call, fault: usize) {
        match call {
            Call::Head(reply) => {
                let response_lost = fault == 0;
                let _ = reply.send(if response_lost {
                    Err(StoreCallError::Indeterminate)
                } else {
                    Ok(self.head())
                });
            }
            Call::Changes(after, up_to, reply) => {
                let range =
                    self.history.iter().filter(|r| r.revision > after && r.revision <= up_to);
                let found = range.cloned().collect();
                let _ = reply.send(if fault == 0 {
                    Err(StoreCallError::Indeterminate)
                } else {
                    Ok(found)
                });
            }
            Call::Append(record, reply) => {
                let result = match fault {
                    0 => Err(StoreCallError::NotApplied),
                    1 => Err(StoreCallError::Indeterminate),
                    2 => {
                        self.append(&record);
                        Err(StoreCallError::Indeterminate)
                    }
                    3 => {
                        self.delayed.push(record);
                        Err(StoreCallError::Indeterminate)
                    }
                    _ => Ok(self.append(&record)),
                };
                let _ = reply.send(result);
            }
        }
    }
}

type PublishFuture = Pin<Box<dyn Future<Output = Result<Published, PublishError>>>>;

struct Publisher {
    publication: Publication,
    future: PublishFuture,
    result: Option<Result<Published, PublishError>>,
}

fn priority(name: usize, level: u8) -> Object {
    let name = format!("p{name}").parse().expect("valid name");
    Object::Priority(Priority { name, level })
}

fn publisher(store: &SharedStore, number: usize, choices: &mut Choices) -> Publisher {
    // Only three names, so that some changes affect the same object.
    let name = choices.below(3);
    let change = match choices.below(4) {
        0 => {
            let name = format!("p{name}").into();
            let kind = clementine_objects::ObjectKind::Priority;
            Change { puts: Vec::new(), deletes: vec![ObjectRef { kind, name }] }
        }
        _ => Change { puts: vec![priority(name, number as u8)], deletes: Vec::new() },
    };
    let publication = Publication {
        id: ChangeId(number as u128 + 1),
        base: Revision(0),
        author: format!("operator-{number}").into(),
        change,
        published_unix_ms: 0,
    };
    let (store, request) = (store.clone(), publication.clone());
    let limits = PublishLimits { attempts: 2 };
    let future = async move { publish(&store, &Snapshot::default(), &request, limits).await };
    Publisher { publication, future: Box::pin(future), result: None }
}

fn poll_all(publishers: &mut [Publisher]) {
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    for publisher in publishers.iter_mut().filter(|publisher| publisher.result.is_none()) {
        if let Poll::Ready(result) = publisher.future.as_mut().poll(&mut cx) {
            publisher.result = Some(result);
        }
    }
}

fn interleave(choices: Vec<u16>) -> bool {
    let mut choices = Choices::new(choices);
    let store = SharedStore::default();
    let mut publishers: Vec<_> =
        (0..PUBLISHERS).map(|number| publisher(&store, number, &mut choices)).collect();
    poll_all(&mut publishers);
    while choices.any_left() {
        step(&store, &mut choices);
        poll_all(&mut publishers);
    }
    while !store.0.borrow().calls.is_empty() {
        resolve_first(&store);
        poll_all(&mut publishers);
    }
    let delayed = std::mem::take(&mut store.0.borrow_mut().delayed);
    for record in delayed {
        store.0.borrow_mut().append(&record);
    }
    let store = store.0.borrow();
    history_is_valid(&store.history)
        && publishers.iter().all(|p| result_matches_history(p, &store.history))
}

fn resolve_first(store: &SharedStore) {
    let store = &mut *store.0.borrow_mut();
    let call = store.calls.remove(0);
    store.resolve(call, usize::MAX);
}

fn step(store: &SharedStore, choices: &mut Choices) {
    let store = &mut *store.0.borrow_mut();
    if choices.below(4) == 0 && !store.delayed.is_empty() {
        let index = choices.below(store.delayed.len());
        let record = store.delayed.remove(index);
        store.append(&record);
    } else if !store.calls.is_empty() {
        let index = choices.below(store.calls.len());
        let call = store.calls.remove(index);
        let fault = choices.below(8);
        store.resolve(call, fault);
    }
}

/// Whether each change directly follows the previous one and results in a valid
/// catalog, and no change occurs twice.
fn history_is_valid(history: &[ChangeRecord]) -> bool {
    let mut snapshot = Snapshot::default();
    for record in history {
        match snapshot.advance(record) {
            Ok(next) if validate_catalog(&next.catalog).is_empty() => snapshot = next,
            _ => return false,
        }
    }
    let mut ids: Vec<_> = history.iter().map(|record| record.id.0).collect();
    ids.sort_unstable();
    ids.windows(2).all(|pair| pair[0] != pair[1])
}

/// Whether the publisher's result agrees with the history: `Ok` for a change in
/// the history, an error other than `Indeterminate` for one that is not. Also
/// fails if an earlier change of the same object was accepted from the same base.
fn result_matches_history(publisher: &Publisher, history: &[ChangeRecord]) -> bool {
    let id = publisher.publication.id;
    let position = history.iter().position(|record| record.id == id);
    match &publisher.result {
        None => false,
        Some(Ok(published)) => {
            let affected = publisher.publication.change.affected_objects();
            let earlier = history.iter().take(position.unwrap_or(0));
            let conflicts = earlier
                .flat_map(|r| r.change.affected_objects())
                .any(|object| affected.contains(&object));
            position.is_some() && published.record.id == id && !conflicts
        }
        Some(Err(PublishError::Indeterminate { .. })) => true,
        Some(Err(_)) => position.is_none(),
    }
}

#[test]
fn reported_result_matches_history() {
    support::interleavings(1_889).quickcheck(interleave as fn(Vec<u16>) -> bool);
}
