//! Exchange of what entries use of the limits of workspaces, through agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::limits::{LimitReport, LimitTotals, choose_boards};
use clementine_net::Dialer;
use clementine_objects::{Millis, WorkspaceLimits};
use clementine_wire::{AgentLink, LinkTimeouts};
use futures::future::join_all;
use spdlog::debug;
use tokio::time::{sleep, timeout};

use crate::entry::Entry;

/// Interval of an entry that has recent requests of workspaces with limits.
const BUSY_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of an entry without such requests, which has to know what the others use when
/// its first request arrives. With 1 s, entries that took turns exceeded a limit of 4
/// concurrent requests.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a call to one agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Links to the agents that keep the boards.
#[derive(Debug)]
pub(crate) struct LimitBoards {
    links: RefCell<Vec<Rc<AgentLink>>>,
    dialer: Rc<Dialer>,
}

impl LimitBoards {
    /// Knows no boards until the first instance list.
    pub(crate) fn new(dialer: Rc<Dialer>) -> Self {
        Self { links: RefCell::default(), dialer }
    }

    /// Chooses the boards among the listed agents. Links to those that stay are kept. An
    /// empty list is assumed to be an error and ignored.
    pub(crate) fn update(&self, agents: impl IntoIterator<Item = SocketAddr>) {
        let boards = choose_boards(agents);
        if boards.is_empty() {
            return;
        }
        let mut links = self.links.borrow_mut();
        let link = |address| {
            let known = links.iter().find(|link| link.address() == address).cloned();
            known.unwrap_or_else(|| {
                let dialer = Rc::clone(&self.dialer);
                Rc::new(AgentLink::new(address, dialer, LinkTimeouts::default()))
            })
        };
        let chosen = boards.into_iter().map(link).collect();
        *links = chosen;
    }

    /// Sends a report to all boards. Returns what the other entries use; `None` if no
    /// board responds.
    async fn exchange(&self, report: &LimitReport) -> Option<LimitTotals> {
        let links = self.links.borrow().clone();
        let calls = links.iter().map(|link| {
            let report = report.clone();
            let call = link.call(Millis(0), |client, cx| async move {
                client.exchange_limits(cx, report).await
            });
            timeout(CALL_TIMEOUT, call)
        });
        let responses = join_all(calls).await.into_iter().filter_map(|result| result.ok()?.ok());
        responses.reduce(|a, b| a.larger(&b))
    }
}

impl Entry {
    /// Exchanges the use of limits indefinitely. Sends nothing while no workspace has
    /// limits.
    pub(crate) async fn exchange_limits(self: Rc<Self>) {
        loop {
            let report = self.limiter.borrow().report(self.clock.now());
            let is_idle = report.uses.is_empty();
            if self.has_limits() {
                if let Some(totals) = self.limit_boards.exchange(&report).await {
                    self.limiter.borrow_mut().merge(totals, self.clock.now());
                } else {
                    debug!("limits: no agent has responded");
                }
            }
            if is_idle {
                let _ = timeout(IDLE_INTERVAL, self.limit_used.notified()).await;
            } else {
                sleep(BUSY_INTERVAL).await;
            }
        }
    }

    fn has_limits(&self) -> bool {
        let snapshot = self.snapshot();
        let mut workspaces = snapshot.catalog.workspaces();
        workspaces.any(|workspace| workspace.limits != WorkspaceLimits::default())
    }
}
