//! A backend server and its agent, as seen by this entry.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::balance::{Candidate, PassiveHealth, PassiveHealthLimits};
use clementine_decide::ids::{IncarnationId, Tick, WorkId};
use clementine_net::Dialer;
use clementine_objects::{PoolName, Revision};
use clementine_stores::{InstanceState, ListedInstance};
use clementine_wire::{AgentDescription, AgentLink, AgentState, AgentStatus, LinkTimeouts};
use compact_str::CompactString;
use serde_json::{Value, json};

use super::read_batcher::ReadBatcher;

/// A backend server and its agent, as seen by this entry.
///
/// Its state combines the instance list, the agent's status reports and the results
/// of requests. The agent's status takes precedence over the instance list, except
/// that a member listed as leaving is not used. An incarnation that has reported
/// that it is leaving never becomes ready again.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) link: AgentLink,
    pub(super) read_batcher: ReadBatcher,
    pub(crate) pool: PoolName,
    domain: CompactString,
    listed: Cell<InstanceState>,
    status: Cell<Option<AgentStatus>>,
    leaving_incarnation: Cell<Option<IncarnationId>>,
    health: RefCell<PassiveHealth>,
    outstanding: Cell<u32>,
    /// Work whose responses were read completely, not yet acknowledged to the
    /// agent.
    completed_work: RefCell<Vec<WorkId>>,
    removed: Cell<bool>,
}

/// Counts a request as in progress at a member until dropped.
#[derive(Debug)]
pub(crate) struct OutstandingGuard {
    member: Rc<Member>,
}

impl Member {
    /// Creates a member from the instance list; it accepts no work before the
    /// agent's first status report.
    pub(super) fn new(instance: &ListedInstance, dialer: Rc<Dialer>) -> Rc<Self> {
        Rc::new(Self {
            read_batcher: ReadBatcher::default(),
            link: AgentLink::new(instance.address, dialer, LinkTimeouts::default()),
            pool: instance.pool.clone(),
            domain: instance.domain.clone(),
            listed: Cell::new(instance.state),
            status: Cell::new(None),
            leaving_incarnation: Cell::new(None),
            health: RefCell::new(PassiveHealth::new(PassiveHealthLimits::default())),
            outstanding: Cell::new(0),
            completed_work: RefCell::default(),
            removed: Cell::new(false),
        })
    }

    /// Returns the address of the agent.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Returns the last status reported by the agent.
    pub(crate) const fn status(&self) -> Option<AgentStatus> {
        self.status.get()
    }

    /// Returns whether the member was removed from the fleet.
    pub(crate) const fn is_removed(&self) -> bool {
        self.removed.get()
    }

    /// Marks the member as removed from the fleet and closes its link.
    pub(crate) fn set_removed(&self) {
        self.removed.set(true);
        self.link.close();
    }

    /// Sets the state given by the instance list.
    pub(crate) fn set_listed_state(&self, state: InstanceState) {
        self.listed.set(state);
    }

    /// Records an agent's description. It is ignored if the agent belongs to
    /// another pool.
    pub(crate) fn record_description(&self, description: &AgentDescription) {
        if description.pool == self.pool {
            self.record_status(description.status);
        }
    }

    /// Records the configuration revision acknowledged by the agent.
    pub(crate) fn record_revision(&self, revision: Revision) {
        self.status.update(|status| status.map(|status| AgentStatus { revision, ..status }));
    }

    /// Records a status reported by the agent.
    pub(crate) fn record_status(&self, status: AgentStatus) {
        if status.state == AgentState::Leaving {
            self.leaving_incarnation.set(Some(status.agent.incarnation));
        }
        self.status.set(Some(status));
    }

    /// Records a successful request.
    pub(crate) fn record_success(&self) {
        self.health.borrow_mut().record_success();
    }

    /// Records a failed request or call.
    pub(crate) fn record_failure(&self, now: Tick) {
        self.health.borrow_mut().record_failure(now);
    }

    /// Records that the response of work was read completely.
    pub(crate) fn record_completed(&self, work: WorkId) {
        self.completed_work.borrow_mut().push(work);
    }

    /// Takes the completed work to acknowledge to the agent.
    pub(crate) fn take_completed(&self) -> Vec<WorkId> {
        self.completed_work.take()
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>) -> OutstandingGuard {
        self.outstanding.update(|n| n + 1);
        OutstandingGuard { member: Rc::clone(self) }
    }

    /// Returns the member as a candidate for new work, or `None` if it accepts
    /// none.
    pub(crate) fn candidate(&self, now: Tick) -> Option<Candidate> {
        let status = self.status.get()?;
        let has_left = self.leaving_incarnation.get() == Some(status.agent.incarnation);
        let listed_leaving = self.listed.get() == InstanceState::Leaving;
        if status.state != AgentState::Ready || has_left || listed_leaving || self.is_removed() {
            return None;
        }
        Some(Candidate {
            agent: status.agent,
            domain: self.domain.clone(),
            load: status.load,
            outstanding: self.outstanding.get(),
            round_trip_us: self.link.round_trip_us(),
            suspected: self.health.borrow().is_suspected(now),
        })
    }

    /// Returns the state of the member for the state dump.
    pub(crate) fn state(&self, now: Tick) -> Value {
        json!({
            "address": self.address(),
            "pool": self.pool,
            "domain": self.domain,
            "listed": format!("{:?}", self.listed.get()),
            "news": self.status.get(),
            "suspected": self.health.borrow().is_suspected(now),
            "outstanding": self.outstanding.get(),
            "round_trip_us": self.link.round_trip_us(),
            "connections_opened": self.link.connections_opened(),
        })
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.member.outstanding.update(|n| n.saturating_sub(1));
    }
}
