//! Runs the simulation through one interleaving.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use clementine_decide::dedup::{AcceptDecision, AttachDecision, WorkTag};
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::operation::{
    AttachReply, ClaimKey, OperationDriver, OperationLimits, OperationRequest, OperationResult,
    RecordedResponse, RequestDigest, RunReply, StoreCallError,
};
use futures::task::noop_waker;

use super::agents::WorkResult;
use super::ports::{CallKind, PendingCall};
use super::{AgentSim, AttemptPorts, AttemptResult, SharedSimulation, Simulation};
use crate::support::Choices;

/// Maximum number of attempts in one interleaving.
const ATTEMPTS: usize = 4;

type OperationFuture = Pin<Box<dyn Future<Output = OperationResult>>>;

struct Attempt {
    ports: Rc<AttemptPorts>,
    future: Option<OperationFuture>,
    result: Option<OperationResult>,
    runs_before: usize,
    digest: RequestDigest,
    crashed: bool,
}

/// Runs one interleaving to completion and returns the final simulation state and
/// the results of all attempts.
pub fn run_interleaving(choices: Vec<u16>) -> (SharedSimulation, Vec<AttemptResult>) {
    let mut choices = Choices::new(choices);
    let sim = new_simulation();
    let mut attempts = Vec::new();
    while choices.any_left() {
        step(&sim, &mut attempts, &mut choices);
        poll_all(&mut attempts);
    }
    finish_all(&sim, &mut attempts);
    let results = attempts.into_iter().map(|attempt| AttemptResult {
        tokens: attempt.ports.tokens.borrow().clone(),
        runs_before: attempt.runs_before,
        digest: attempt.digest,
        crashed: attempt.crashed,
        operation_result: attempt.result,
    });
    (Rc::clone(&sim), results.collect())
}

fn new_simulation() -> SharedSimulation {
    let agent = |n: u8| AgentSim::new(SocketAddr::from(([10, 0, 0, n], 1)), u128::from(n));
    let agents = vec![agent(1), agent(2)];
    Rc::new(RefCell::new(Simulation { agents, next_token: 100, ..Simulation::default() }))
}

fn step(sim: &SharedSimulation, attempts: &mut Vec<Attempt>, choices: &mut Choices) {
    match choices.below(13) {
        0 if attempts.len() < ATTEMPTS => attempts.push(start(sim, attempts.len(), choices)),
        1 if choices.below(4) == 0 => crash_entry(sim, attempts, choices),
        2 if choices.below(3) == 0 => replace_agent(sim, choices),
        3 => apply_delayed_write(sim, choices),
        4..=6 => complete_work(sim, choices),
        7 => run_other_work(sim, choices),
        _ => resolve_call(sim, choices),
    }
}

fn start(sim: &SharedSimulation, number: usize, choices: &mut Choices) -> Attempt {
    // Some attempts use the key for a different request.
    let digest = RequestDigest(if choices.below(8) == 0 { 8 } else { 7 });
    let first_attempt = number == 0 && choices.below(2) == 0;
    let runs_before = sim.borrow().service_runs.len();
    let ports =
        Rc::new(AttemptPorts { sim: Rc::clone(sim), attempt: number, tokens: RefCell::default() });
    let driver_ports = Rc::clone(&ports);
    let future = async move {
        let key = ClaimKey {
            workspace: "w".parse().expect("valid name"),
            route: "r".parse().expect("valid name"),
            key: "k".into(),
        };
        let limits = OperationLimits::default();
        let request = OperationRequest { key: &key, digest, first_attempt };
        OperationDriver::new(&*driver_ports, &*driver_ports, request, limits).drive().await
    };
    Attempt {
        ports,
        future: Some(Box::pin(future)),
        result: None,
        runs_before,
        digest,
        crashed: false,
    }
}

fn poll_all(attempts: &mut [Attempt]) {
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    for attempt in attempts {
        let Some(future) = &mut attempt.future else { continue };
        if let Poll::Ready(result) = future.as_mut().poll(&mut cx) {
            attempt.result = Some(result);
            attempt.future = None;
        }
    }
}

/// Aborts an attempt. Its pending calls may still be delivered.
fn crash_entry(sim: &SharedSimulation, attempts: &mut [Attempt], choices: &mut Choices) {
    if attempts.is_empty() {
        return;
    }
    let index = choices.below(attempts.len());
    if attempts[index].future.take().is_none() {
        return;
    }
    attempts[index].crashed = true;
    let deliver = choices.below(2) == 0;
    let mut sim = sim.borrow_mut();
    let (aborted, kept) =
        std::mem::take(&mut sim.calls).into_iter().partition(|c| c.attempt == index);
    sim.calls = kept;
    let aborted: Vec<PendingCall> = aborted;
    for call in aborted.into_iter().filter(|_| deliver) {
        match call.kind {
            CallKind::Write { write, .. } => sim.table.delayed.push(write),
            CallKind::Run { agent, tag, delivered: false, .. } => {
                deliver_run(&mut sim, &agent, tag);
            }
            _ => {}
        }
    }
}

fn replace_agent(sim: &SharedSimulation, choices: &mut Choices) {
    let mut sim = sim.borrow_mut();
    sim.next_token += 1;
    let incarnation = sim.next_token;
    let index = choices.below(sim.agents.len());
    sim.agents[index].replace(incarnation);
}

fn apply_delayed_write(sim: &SharedSimulation, choices: &mut Choices) {
    let mut sim = sim.borrow_mut();
    if sim.table.delayed.is_empty() {
        return;
    }
    let index = choices.below(sim.table.delayed.len());
    let write = sim.table.delayed.remove(index);
    let _ = sim.table.apply(&write);
}

/// Lets an agent accept unrelated work, so that its epochs advance.
fn run_other_work(sim: &SharedSimulation, choices: &mut Choices) {
    let sim = &mut *sim.borrow_mut();
    let index = choices.below(sim.agents.len());
    for _ in 0..=choices.below(3) {
        sim.next_token += 1;
        let agent = sim.agents[index].agent_ref();
        let tag = WorkTag::new(WorkId(sim.next_token), &agent);
        let _ = sim.agents[index].dedup.accept(&tag);
    }
}

/// Completes one accepted work item of an agent or of a suspended former
/// incarnation.
fn complete_work(sim: &SharedSimulation, choices: &mut Choices) {
    let sim = &mut *sim.borrow_mut();
    let index = choices.below(sim.agents.len());
    let agent = &mut sim.agents[index];
    if !agent.suspended.is_empty() && choices.below(2) == 0 {
        let permit = agent.suspended.remove(0);
        sim.service_runs.push(permit.work());
        return;
    }
    if agent.waiting.is_empty() {
        return;
    }
    let permit = agent.waiting.remove(0);
    let work = permit.work();
    let result = match choices.below(6) {
        0 => {
            agent.dedup.withdraw(permit);
            WorkResult::NotRun
        }
        1 => WorkResult::BackendLost,
        2 => {
            sim.service_runs.push(work);
            WorkResult::BackendLost
        }
        _ => {
            sim.service_runs.push(work);
            WorkResult::Answered(response_of(work))
        }
    };
    agent.results.insert(work, result);
}

fn resolve_call(sim: &SharedSimulation, choices: &mut Choices) {
    let mut sim = sim.borrow_mut();
    if sim.calls.is_empty() {
        return;
    }
    let index = choices.below(sim.calls.len());
    let call = sim.calls.remove(index);
    let fault = choices.below(8);
    if let Some(call) = resolve(&mut sim, call, fault) {
        sim.calls.push(call);
    }
}

/// Resolves all calls and completes all work without injecting further faults.
fn finish_all(sim: &SharedSimulation, attempts: &mut [Attempt]) {
    for _ in 0..200 {
        poll_all(attempts);
        let calls = std::mem::take(&mut sim.borrow_mut().calls);
        for call in calls {
            let mut sim = sim.borrow_mut();
            if let Some(call) = resolve(&mut sim, call, usize::MAX) {
                sim.calls.push(call);
            }
        }
        let mut no_choices = Choices::new(Vec::new());
        for _ in 0..8 {
            complete_all_work(sim);
            apply_delayed_write(sim, &mut no_choices);
        }
    }
}

fn complete_all_work(sim: &SharedSimulation) {
    let sim = &mut *sim.borrow_mut();
    for agent in &mut sim.agents {
        for permit in agent.waiting.drain(..) {
            sim.service_runs.push(permit.work());
            agent.results.insert(permit.work(), WorkResult::Answered(response_of(permit.work())));
        }
        for permit in agent.suspended.drain(..) {
            sim.service_runs.push(permit.work());
        }
    }
}

/// Resolves a call with the given fault; returns the call if it must wait.
fn resolve(sim: &mut Simulation, call: PendingCall, fault: usize) -> Option<PendingCall> {
    let attempt = call.attempt;
    match call.kind {
        CallKind::Write { write, reply } => {
            let result = match fault {
                0 => Err(StoreCallError::NotApplied),
                1 => {
                    let _ = sim.table.apply(&write);
                    Err(StoreCallError::Indeterminate)
                }
                2 => {
                    sim.table.delayed.push(write);
                    Err(StoreCallError::Indeterminate)
                }
                3 => Err(StoreCallError::Indeterminate),
                _ => Ok(sim.table.apply(&write)),
            };
            let _ = reply.send(result);
            None
        }
        CallKind::Read { reply } => {
            let response_lost = fault < 2;
            let result = if response_lost {
                Err(StoreCallError::Indeterminate)
            } else {
                Ok(sim.table.row.clone())
            };
            let _ = reply.send(result);
            None
        }
        CallKind::Run { agent, tag, delivered, reply } => {
            let known = if delivered { None } else { deliver_run(sim, &agent, tag) };
            let result = match (fault, known) {
                (0, _) => Some(RunReply::Unreachable),
                (_, Some(refused)) => Some(refused),
                _ => work_status(sim, &agent, tag.work).map(run_reply),
            };
            let Some(result) = result else {
                let kind = CallKind::Run { agent, tag, delivered: true, reply };
                return Some(PendingCall { attempt, kind });
            };
            let _ = reply.send(result);
            None
        }
        CallKind::Attach { agent, tag, delivered, reply } => {
            let known = if delivered { None } else { deliver_attach(sim, &agent, tag) };
            let result = match (fault, known) {
                (0, _) => Some(AttachReply::Unreachable),
                (_, Some(refused)) => Some(refused),
                _ => work_status(sim, &agent, tag.work).map(attach_reply),
            };
            let Some(result) = result else {
                let kind = CallKind::Attach { agent, tag, delivered: true, reply };
                return Some(PendingCall { attempt, kind });
            };
            let _ = reply.send(result);
            None
        }
    }
}

/// Delivers a run request to the current incarnation at the agent's address.
/// Returns a reply if the request is refused at once.
fn deliver_run(sim: &mut Simulation, agent: &AgentRef, tag: WorkTag) -> Option<RunReply> {
    let agent_sim = sim.agents.iter_mut().find(|agent_sim| agent_sim.address == agent.address)?;
    match agent_sim.dedup.accept(&tag) {
        AcceptDecision::Run(permit) => {
            agent_sim.waiting.push(permit);
            None
        }
        AcceptDecision::Accepted => None,
        AcceptDecision::Sealed | AcceptDecision::NotCurrent => {
            Some(RunReply::Refused { retry_after: None })
        }
    }
}

fn deliver_attach(sim: &mut Simulation, agent: &AgentRef, tag: WorkTag) -> Option<AttachReply> {
    let agent_sim = sim.agents.iter_mut().find(|agent_sim| agent_sim.address == agent.address)?;
    match agent_sim.dedup.attach(&tag) {
        AttachDecision::Accepted => None,
        AttachDecision::Sealed => Some(AttachReply::Sealed),
        AttachDecision::Forgotten => Some(AttachReply::Forgotten),
        AttachDecision::OtherIncarnation => Some(AttachReply::Replaced),
    }
}

/// The status of work as seen by an attempt that waits for it.
enum WorkStatus {
    Ended(WorkResult),
    /// The incarnation was replaced.
    Lost,
}

fn work_status(sim: &Simulation, agent: &AgentRef, work: WorkId) -> Option<WorkStatus> {
    let agent_sim = sim.agents.iter().find(|agent_sim| agent_sim.address == agent.address)?;
    if agent_sim.dedup.incarnation() != agent.incarnation {
        return Some(WorkStatus::Lost);
    }
    agent_sim.results.get(&work).cloned().map(WorkStatus::Ended)
}

fn run_reply(status: WorkStatus) -> RunReply {
    match status {
        WorkStatus::Ended(WorkResult::Answered(response)) => RunReply::Answered(response),
        WorkStatus::Ended(WorkResult::BackendLost) => RunReply::BackendLost,
        WorkStatus::Ended(WorkResult::NotRun) => RunReply::Refused { retry_after: None },
        WorkStatus::Lost => RunReply::Unreachable,
    }
}

fn attach_reply(status: WorkStatus) -> AttachReply {
    match status {
        WorkStatus::Ended(WorkResult::Answered(response)) => AttachReply::Answered(response),
        WorkStatus::Ended(WorkResult::BackendLost) => AttachReply::BackendLost,
        WorkStatus::Ended(WorkResult::NotRun) => AttachReply::Sealed,
        WorkStatus::Lost => AttachReply::Unreachable,
    }
}

/// The service's response; its body is the executed token.
pub fn response_of(work: WorkId) -> RecordedResponse {
    let body = work.to_string().into_bytes();
    RecordedResponse { status: 200, content_type: "text/plain".into(), body }
}
