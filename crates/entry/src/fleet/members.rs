//! The set of members, selected from the instance list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::balance::{Candidate, Exclusions, choose, choose_subset};
use clementine_decide::ids::{AgentRef, Tick};
use clementine_net::Dialer;
use clementine_objects::PoolName;
use clementine_stores::ListedInstance;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;

use super::Member;

/// The backend servers that this entry uses: a subset of each pool.
#[derive(Debug)]
pub(crate) struct Fleet {
    members: RefCell<BTreeMap<SocketAddr, Rc<Member>>>,
    listed: RefCell<BTreeSet<SocketAddr>>,
    dialer: Rc<Dialer>,
    subset: usize,
    seed: u64,
    rng: RefCell<SmallRng>,
    has_instance_list: Cell<bool>,
}

impl Fleet {
    /// Creates a fleet with no members, before the first instance list.
    pub(crate) fn new(subset: usize, dialer: Rc<Dialer>) -> Self {
        Self {
            members: RefCell::default(),
            listed: RefCell::default(),
            dialer,
            subset,
            seed: rand::random(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            has_instance_list: Cell::new(false),
        }
    }

    /// Returns whether a non-empty instance list has been received.
    pub(crate) const fn has_instance_list(&self) -> bool {
        self.has_instance_list.get()
    }

    /// Returns whether the latest instance list contains an address.
    pub(crate) fn is_listed(&self, address: SocketAddr) -> bool {
        self.listed.borrow().contains(&address)
    }

    /// Returns the member with an address, if it is in the fleet.
    pub(crate) fn member(&self, address: SocketAddr) -> Option<Rc<Member>> {
        self.members.borrow().get(&address).cloned()
    }

    /// Creates a member without adding it to the fleet.
    pub(crate) fn create_member(&self, instance: &ListedInstance) -> Rc<Member> {
        Member::new(instance, Rc::clone(&self.dialer))
    }

    /// Returns all members.
    pub(crate) fn members(&self) -> Vec<Rc<Member>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Applies an instance list and returns the added members.
    ///
    /// An empty list is assumed to be an error and ignored. A member that is no
    /// longer listed or selected is removed from the fleet, without ending its
    /// requests in progress.
    pub(crate) fn update_instances(&self, list: &[ListedInstance]) -> Vec<Rc<Member>> {
        if list.is_empty() {
            return Vec::new();
        }
        self.has_instance_list.set(true);
        *self.listed.borrow_mut() = list.iter().map(|instance| instance.address).collect();
        let selected = self.select_subsets(list);
        let mut members = self.members.borrow_mut();
        members.retain(|address, member| {
            let keep = selected.contains(address);
            if !keep {
                member.set_removed();
            }
            keep
        });
        let mut added = Vec::new();
        for instance in list.iter().filter(|instance| selected.contains(&instance.address)) {
            if let Some(member) = members.get(&instance.address) {
                member.set_listed_state(instance.state);
                continue;
            }
            let member = self.create_member(instance);
            members.insert(instance.address, Rc::clone(&member));
            added.push(member);
        }
        added
    }

    /// Returns the members of a pool that accept new work.
    pub(crate) fn candidates(&self, pool: &PoolName, now: Tick) -> Vec<Candidate> {
        let members = self.members.borrow();
        let of_pool = members.values().filter(|member| member.pool == *pool);
        of_pool.filter_map(|member| member.candidate(now)).collect()
    }

    /// Selects one of the candidates; see [`choose`].
    pub(crate) fn choose(&self, candidates: &[Candidate], avoid: &Exclusions) -> Option<AgentRef> {
        choose(candidates, avoid, &mut *self.rng.borrow_mut())
    }

    /// Returns the state of all members for the state dump.
    pub(crate) fn state(&self, now: Tick) -> Value {
        self.members.borrow().values().map(|member| member.state(now)).collect()
    }

    /// Selects the subset of each pool that this entry uses.
    fn select_subsets(&self, list: &[ListedInstance]) -> BTreeSet<SocketAddr> {
        let mut pools: BTreeMap<&PoolName, BTreeMap<_, _>> = BTreeMap::new();
        for instance in list {
            let pool = pools.entry(&instance.pool).or_default();
            pool.insert(instance.address, instance.domain.clone());
        }
        pools.values().flat_map(|pool| choose_subset(pool, self.subset, self.seed)).collect()
    }
}
