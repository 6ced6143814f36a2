//! One backend server with its agent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::balance::{Candidate, Health, HealthLimits};
use clementine_decide::ids::{IncarnationId, Tick, WorkId};
use clementine_net::Dialer;
use clementine_objects::{PoolName, Revision};
use clementine_stores::{InstanceState, ListedInstance};
use clementine_wire::{AgentDescription, AgentLink, AgentState, AgentStatus, LinkTimeouts};
use compact_str::CompactString;
use serde_json::{Value, json};

use super::read_lanes::ReadLanes;

/// One backend server with its agent.
///
/// What is known of it comes from three sources. The agent's own word goes
/// before the instance list, and an incarnation that has said that it is
/// leaving never becomes ready again.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) link: AgentLink,
    pub(super) lanes: ReadLanes,
    pub(crate) pool: PoolName,
    domain: CompactString,
    listed: Cell<InstanceState>,
    news: Cell<Option<AgentStatus>>,
    left: Cell<Option<IncarnationId>>,
    health: RefCell<Health>,
    outstanding: Cell<u32>,
    /// Work whose answers were read to their end, not told to the agent yet.
    done: RefCell<Vec<WorkId>>,
    gone: Cell<bool>,
}

/// One request in progress at a member, until dropped.
#[derive(Debug)]
pub(crate) struct Outstanding {
    member: Rc<Member>,
}

impl Member {
    /// A member of which only the list has told.
    pub(super) fn new(instance: &ListedInstance, dialer: Rc<Dialer>) -> Rc<Self> {
        Rc::new(Self {
            lanes: ReadLanes::default(),
            link: AgentLink::new(instance.address, dialer, LinkTimeouts::default()),
            pool: instance.pool.clone(),
            domain: instance.domain.clone(),
            listed: Cell::new(instance.state),
            news: Cell::new(None),
            left: Cell::new(None),
            health: RefCell::new(Health::new(HealthLimits::default())),
            outstanding: Cell::new(0),
            done: RefCell::default(),
            gone: Cell::new(false),
        })
    }

    /// Address of the agent.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// What the agent said last.
    pub(crate) const fn news(&self) -> Option<AgentStatus> {
        self.news.get()
    }

    /// Whether the member was dropped from the fleet.
    pub(crate) const fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// Notes that the member was dropped from the fleet.
    pub(crate) fn set_gone(&self) {
        self.gone.set(true);
        self.link.close();
    }

    /// Takes in what the list says.
    pub(crate) fn note_listed(&self, state: InstanceState) {
        self.listed.set(state);
    }

    /// Takes in an agent's description.
    pub(crate) fn note_description(&self, description: &AgentDescription) {
        if description.pool == self.pool {
            self.note_news(description.status);
        }
    }

    /// Takes in the configuration that the agent says it holds.
    pub(crate) fn note_revision(&self, revision: Revision) {
        self.news.update(|news| news.map(|news| AgentStatus { revision, ..news }));
    }

    /// Takes in what the agent says of itself.
    pub(crate) fn note_news(&self, news: AgentStatus) {
        if news.state == AgentState::Leaving {
            self.left.set(Some(news.agent.incarnation));
        }
        self.news.set(Some(news));
    }

    /// Notes that a request was answered.
    pub(crate) fn note_success(&self) {
        self.health.borrow_mut().record_success();
    }

    /// Notes that a request failed.
    pub(crate) fn note_failure(&self, now: Tick) {
        self.health.borrow_mut().record_failure(now);
    }

    /// Notes that an answer was read to its end.
    pub(crate) fn note_done(&self, work: WorkId) {
        self.done.borrow_mut().push(work);
    }

    /// Work to be told to the agent as done.
    pub(crate) fn take_done(&self) -> Vec<WorkId> {
        self.done.take()
    }

    /// Counts a request in progress here until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> Outstanding {
        self.outstanding.update(|n| n + 1);
        Outstanding { member: Rc::clone(self) }
    }

    /// The member as a candidate for new work, if it takes any.
    pub(crate) fn candidate(&self, now: Tick) -> Option<Candidate> {
        let news = self.news.get()?;
        let left = self.left.get() == Some(news.agent.incarnation);
        let listed_leaving = self.listed.get() == InstanceState::Leaving;
        if news.state != AgentState::Ready || left || listed_leaving || self.is_gone() {
            return None;
        }
        Some(Candidate {
            agent: news.agent,
            domain: self.domain.clone(),
            load: news.load,
            outstanding: self.outstanding.get(),
            round_trip_us: self.link.round_trip_us(),
            suspected: self.health.borrow().is_suspected(now),
        })
    }

    /// Dump of the member.
    pub(crate) fn state(&self, now: Tick) -> Value {
        json!({
            "address": self.address(),
            "pool": self.pool,
            "domain": self.domain,
            "listed": format!("{:?}", self.listed.get()),
            "news": self.news.get(),
            "suspected": self.health.borrow().is_suspected(now),
            "outstanding": self.outstanding.get(),
            "round_trip_us": self.link.round_trip_us(),
            "connections_opened": self.link.connections_opened(),
        })
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.member.outstanding.update(|n| n.saturating_sub(1));
    }
}
