//! Steps the test world through one interleaving.

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

use super::agents::JobResult;
use super::ports::{CallKind, PendingCall};
use super::{AgentSim, AttemptPorts, AttemptResult, SharedSimulation, Simulation};
use crate::support::Choices;

/// Attempts of the caller in one interleaving.
const ATTEMPTS: usize = 4;

type Drive = Pin<Box<dyn Future<Output = OperationResult>>>;

struct Attempt {
    ports: Rc<AttemptPorts>,
    drive: Option<Drive>,
    settled: Option<OperationResult>,
    runs_before: usize,
    digest: RequestDigest,
    crashed: bool,
}

/// Runs one interleaving to its end and returns the world with the results of
/// all attempts.
pub fn run_interleaving(choices: Vec<u16>) -> (SharedSimulation, Vec<AttemptResult>) {
    let mut choices = Choices::new(choices);
    let sim = new_simulation();
    let mut attempts = Vec::new();
    while choices.any_left() {
        step(&sim, &mut attempts, &mut choices);
        poll_all(&mut attempts);
    }
    settle_all(&sim, &mut attempts);
    let results = attempts.into_iter().map(|attempt| AttemptResult {
        tokens: attempt.ports.tokens.borrow().clone(),
        runs_before: attempt.runs_before,
        digest: attempt.digest,
        crashed: attempt.crashed,
        settled: attempt.settled,
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
        3 => apply_late_write(sim, choices),
        4..=6 => run_job(sim, choices),
        7 => run_other_work(sim, choices),
        _ => resolve_call(sim, choices),
    }
}

fn start(sim: &SharedSimulation, number: usize, choices: &mut Choices) -> Attempt {
    // A caller now and then uses the key for another request.
    let digest = RequestDigest(if choices.below(8) == 0 { 8 } else { 7 });
    let first_attempt = number == 0 && choices.below(2) == 0;
    let runs_before = sim.borrow().service_runs.len();
    let ports =
        Rc::new(AttemptPorts { sim: Rc::clone(sim), attempt: number, tokens: RefCell::default() });
    let for_drive = Rc::clone(&ports);
    let drive = async move {
        let key = ClaimKey {
            workspace: "w".parse().expect("a name"),
            route: "r".parse().expect("a name"),
            key: "k".into(),
        };
        let limits = OperationLimits::default();
        let request = OperationRequest { key: &key, digest, first_attempt };
        OperationDriver::new(&*for_drive, &*for_drive, request, limits).drive().await
    };
    Attempt {
        ports,
        drive: Some(Box::pin(drive)),
        settled: None,
        runs_before,
        digest,
        crashed: false,
    }
}

fn poll_all(attempts: &mut [Attempt]) {
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    for attempt in attempts {
        let Some(drive) = &mut attempt.drive else { continue };
        if let Poll::Ready(settled) = drive.as_mut().poll(&mut cx) {
            attempt.settled = Some(settled);
            attempt.drive = None;
        }
    }
}

/// Drops an attempt; its call under way may still arrive.
fn crash_entry(sim: &SharedSimulation, attempts: &mut [Attempt], choices: &mut Choices) {
    if attempts.is_empty() {
        return;
    }
    let index = choices.below(attempts.len());
    if attempts[index].drive.take().is_none() {
        return;
    }
    attempts[index].crashed = true;
    let arrives = choices.below(2) == 0;
    let mut sim = sim.borrow_mut();
    let (lost, kept) = std::mem::take(&mut sim.calls).into_iter().partition(|c| c.attempt == index);
    sim.calls = kept;
    let lost: Vec<PendingCall> = lost;
    for call in lost.into_iter().filter(|_| arrives) {
        match call.kind {
            CallKind::Write { write, .. } => sim.table.late.push(write),
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

fn apply_late_write(sim: &SharedSimulation, choices: &mut Choices) {
    let mut sim = sim.borrow_mut();
    if sim.table.late.is_empty() {
        return;
    }
    let index = choices.below(sim.table.late.len());
    let write = sim.table.late.remove(index);
    let _ = sim.table.apply(&write);
}

/// Lets an agent accept work of other callers, so that its epochs turn over.
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

/// Lets an agent, or a frozen former incarnation, end one accepted job.
fn run_job(sim: &SharedSimulation, choices: &mut Choices) {
    let sim = &mut *sim.borrow_mut();
    let index = choices.below(sim.agents.len());
    let agent = &mut sim.agents[index];
    if !agent.frozen.is_empty() && choices.below(2) == 0 {
        let permit = agent.frozen.remove(0);
        sim.service_runs.push(permit.work());
        return;
    }
    if agent.waiting.is_empty() {
        return;
    }
    let permit = agent.waiting.remove(0);
    let work = permit.work();
    let end = match choices.below(6) {
        0 => {
            agent.dedup.withdraw(permit);
            JobResult::NotRun
        }
        1 => JobResult::BackendLost,
        2 => {
            sim.service_runs.push(work);
            JobResult::BackendLost
        }
        _ => {
            sim.service_runs.push(work);
            JobResult::Answered(answer_of(work))
        }
    };
    agent.results.insert(work, end);
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

/// Lets all calls and jobs end without further faults.
fn settle_all(sim: &SharedSimulation, attempts: &mut [Attempt]) {
    for _ in 0..200 {
        poll_all(attempts);
        let calls = std::mem::take(&mut sim.borrow_mut().calls);
        for call in calls {
            let mut sim = sim.borrow_mut();
            if let Some(call) = resolve(&mut sim, call, usize::MAX) {
                sim.calls.push(call);
            }
        }
        let mut calm = Choices::new(Vec::new());
        for _ in 0..8 {
            end_waiting_jobs(sim);
            apply_late_write(sim, &mut calm);
        }
    }
}

fn end_waiting_jobs(sim: &SharedSimulation) {
    let sim = &mut *sim.borrow_mut();
    for agent in &mut sim.agents {
        for permit in agent.waiting.drain(..) {
            sim.service_runs.push(permit.work());
            agent.results.insert(permit.work(), JobResult::Answered(answer_of(permit.work())));
        }
        for permit in agent.frozen.drain(..) {
            sim.service_runs.push(permit.work());
        }
    }
}

/// Resolves a call under a fault; hands it back while it has to wait.
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
                    sim.table.late.push(write);
                    Err(StoreCallError::Indeterminate)
                }
                3 => Err(StoreCallError::Indeterminate),
                _ => Ok(sim.table.apply(&write)),
            };
            let _ = reply.send(result);
            None
        }
        CallKind::Read { reply } => {
            let lost = fault < 2;
            let result =
                if lost { Err(StoreCallError::Indeterminate) } else { Ok(sim.table.row.clone()) };
            let _ = reply.send(result);
            None
        }
        CallKind::Run { agent, tag, delivered, reply } => {
            let known = if delivered { None } else { deliver_run(sim, &agent, tag) };
            let result = match (fault, known) {
                (0, _) => Some(RunReply::Unreachable),
                (_, Some(refused)) => Some(refused),
                _ => job_result(sim, &agent, tag.work).map(run_reply),
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
                (_, Some(verdict)) => Some(verdict),
                _ => job_result(sim, &agent, tag.work).map(attach_reply),
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

/// Brings an order to whoever is at the agent's address; a refusal is known
/// at once.
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

/// What a reader learns of a job that has ended.
enum Followed {
    Ended(JobResult),
    /// The incarnation was replaced.
    Lost,
}

fn job_result(sim: &Simulation, agent: &AgentRef, work: WorkId) -> Option<Followed> {
    let agent_sim = sim.agents.iter().find(|agent_sim| agent_sim.address == agent.address)?;
    if agent_sim.dedup.incarnation() != agent.incarnation {
        return Some(Followed::Lost);
    }
    agent_sim.results.get(&work).cloned().map(Followed::Ended)
}

fn run_reply(end: Followed) -> RunReply {
    match end {
        Followed::Ended(JobResult::Answered(answer)) => RunReply::Answered(answer),
        Followed::Ended(JobResult::BackendLost) => RunReply::BackendLost,
        Followed::Ended(JobResult::NotRun) => RunReply::Refused { retry_after: None },
        Followed::Lost => RunReply::Unreachable,
    }
}

fn attach_reply(end: Followed) -> AttachReply {
    match end {
        Followed::Ended(JobResult::Answered(answer)) => AttachReply::Answered(answer),
        Followed::Ended(JobResult::BackendLost) => AttachReply::BackendLost,
        Followed::Ended(JobResult::NotRun) => AttachReply::Sealed,
        Followed::Lost => AttachReply::Unreachable,
    }
}

/// The service's answer names the token that it ran.
pub fn answer_of(work: WorkId) -> RecordedResponse {
    let body = work.to_string().into_bytes();
    RecordedResponse { status: 200, content_type: "text/plain".into(), body }
}
