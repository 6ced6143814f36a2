//! Random interleavings of publishers that race, with lost and late answers
//! of the table service.

mod support;

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use clementine_decide::operation::StoreFault;
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

/// Publishers in one interleaving.
const PUBLISHERS: usize = 3;

/// The store's history; the head is its last record.
#[derive(Debug, Default)]
struct Store {
    history: Vec<ChangeRecord>,
    late: Vec<ChangeRecord>,
    calls: Vec<Call>,
}

#[derive(Debug)]
enum Call {
    Head(oneshot::Sender<Result<Option<ConfigHead>, StoreFault>>),
    Append(ChangeRecord, oneshot::Sender<Result<AppendReply, StoreFault>>),
    Changes(Revision, Revision, oneshot::Sender<Result<Vec<ChangeRecord>, StoreFault>>),
}

#[derive(Debug, Clone, Default)]
struct SharedStore(Rc<RefCell<Store>>);

impl SharedStore {
    async fn call<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T, StoreFault>>) -> Call,
    ) -> Result<T, StoreFault> {
        let (reply, answer) = oneshot::channel();
        self.0.borrow_mut().calls.push(call(reply));
        answer.await.unwrap_or(Err(StoreFault::Unclear))
    }
}

impl ConfigStore for SharedStore {
    async fn head(&self) -> Result<Option<ConfigHead>, StoreFault> {
        self.call(Call::Head).await
    }

    async fn append(&self, record: &ChangeRecord) -> Result<AppendReply, StoreFault> {
        self.call(|reply| Call::Append(record.clone(), reply)).await
    }

    async fn changes(
        &self,
        after: Revision,
        up_to: Revision,
    ) -> Result<Vec<ChangeRecord>, StoreFault> {
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
                let lost = fault == 0;
                let _ = reply.send(if lost { Err(StoreFault::Unclear) } else { Ok(self.head()) });
            }
            Call::Changes(after, up_to, reply) => {
                let range =
                    self.history.iter().filter(|r| r.revision > after && r.revision <= up_to);
                let found = range.cloned().collect();
                let _ = reply.send(if fault == 0 { Err(StoreFault::Unclear) } else { Ok(found) });
            }
            Call::Append(record, reply) => {
                let result = match fault {
                    0 => Err(StoreFault::NoEffect),
                    1 => Err(StoreFault::Unclear),
                    2 => {
                        self.append(&record);
                        Err(StoreFault::Unclear)
                    }
                    3 => {
                        self.late.push(record);
                        Err(StoreFault::Unclear)
                    }
                    _ => Ok(self.append(&record)),
                };
                let _ = reply.send(result);
            }
        }
    }
}

type Publishing = Pin<Box<dyn Future<Output = Result<Published, PublishError>>>>;

struct Publisher {
    publication: Publication,
    publishing: Publishing,
    result: Option<Result<Published, PublishError>>,
}

fn priority(name: usize, level: u8) -> Object {
    let name = format!("p{name}").parse().expect("a name");
    Object::Priority(Priority { name, level })
}

fn publisher(store: &SharedStore, number: usize, choices: &mut Choices) -> Publisher {
    // Three names, so that some changes touch the same object.
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
    let (store, wanted) = (store.clone(), publication.clone());
    let limits = PublishLimits { rounds: 2 };
    let publishing = async move { publish(&store, &Snapshot::default(), &wanted, limits).await };
    Publisher { publication, publishing: Box::pin(publishing), result: None }
}

fn poll_all(publishers: &mut [Publisher]) {
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    for publisher in publishers.iter_mut().filter(|publisher| publisher.result.is_none()) {
        if let Poll::Ready(result) = publisher.publishing.as_mut().poll(&mut cx) {
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
    let late = std::mem::take(&mut store.0.borrow_mut().late);
    for record in late {
        store.0.borrow_mut().append(&record);
    }
    let store = store.0.borrow();
    history_is_sound(&store.history) && publishers.iter().all(|p| told_the_truth(p, &store.history))
}

fn resolve_first(store: &SharedStore) {
    let store = &mut *store.0.borrow_mut();
    let call = store.calls.remove(0);
    store.resolve(call, usize::MAX);
}

fn step(store: &SharedStore, choices: &mut Choices) {
    let store = &mut *store.0.borrow_mut();
    if choices.below(4) == 0 && !store.late.is_empty() {
        let index = choices.below(store.late.len());
        let record = store.late.remove(index);
        store.append(&record);
    } else if !store.calls.is_empty() {
        let index = choices.below(store.calls.len());
        let call = store.calls.remove(index);
        let fault = choices.below(8);
        store.resolve(call, fault);
    }
}

/// Each change follows on from the one before and leaves a faultless whole;
/// none stands there twice.
fn history_is_sound(history: &[ChangeRecord]) -> bool {
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

/// `Ok` is said exactly of changes that stand in the history, and two changes
/// of one object from the same base are never both accepted.
fn told_the_truth(publisher: &Publisher, history: &[ChangeRecord]) -> bool {
    let id = publisher.publication.id;
    let position = history.iter().position(|record| record.id == id);
    match &publisher.result {
        None => false,
        Some(Ok(published)) => {
            let touched = publisher.publication.change.affected_objects();
            let rivals = history.iter().take(position.unwrap_or(0));
            let clash = rivals
                .flat_map(|r| r.change.affected_objects())
                .any(|object| touched.contains(&object));
            position.is_some() && published.record.id == id && !clash
        }
        Some(Err(PublishError::Unclear { .. })) => true,
        Some(Err(_)) => position.is_none(),
    }
}

#[test]
fn accepted_is_said_exactly_when_it_holds() {
    support::interleavings(1_889).quickcheck(interleave as fn(Vec<u16>) -> bool);
}
