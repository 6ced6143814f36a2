//! Steps the test world through one interleaving.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use clementine_decide::gate::{AcceptVerdict, AttachVerdict, WorkTag};
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::operation::{
    AttachReply, BodyDigest, ClaimKey, OperationDriver, OperationLimits, OperationRequest,
    RecordedAnswer, RunReply, Settled, StoreFault,
};
use futures::task::noop_waker;

use super::agents::JobEnd;
use super::ports::{CallKind, PendingCall};
use super::{AgentSim, AttemptResult, SharedWorld, World, WorldPorts};
use crate::support::Choices;

/// Attempts of the caller in one interleaving.
const ATTEMPTS: usize = 4;

type Drive = Pin<Box<dyn Future<Output = Settled>>>;

struct Attempt {
    ports: Rc<WorldPorts>,
    drive: Option<Drive>,
    settled: Option<Settled>,
    runs_before: usize,
    digest: BodyDigest,
    crashed: bool,
}

/// Runs one interleaving to its end and returns the world with the results of
/// all attempts.
pub fn run_interleaving(choices: Vec<u16>) -> (SharedWorld, Vec<AttemptResult>) {
    let mut choices = Choices::new(choices);
    let world = new_world();
    let mut attempts = Vec::new();
    while choices.any_left() {
        step(&world, &mut attempts, &mut choices);
        poll_all(&mut attempts);
    }
    settle_all(&world, &mut attempts);
    let results = attempts.into_iter().map(|attempt| AttemptResult {
        tokens: attempt.ports.tokens.borrow().clone(),
        runs_before: attempt.runs_before,
        digest: attempt.digest,
        crashed: attempt.crashed,
        settled: attempt.settled,
    });
    (Rc::clone(&world), results.collect())
}

fn new_world() -> SharedWorld {
    let agent = |n: u8| AgentSim::new(SocketAddr::from(([10, 0, 0, n], 1)), u128::from(n));
    let agents = vec![agent(1), agent(2)];
    Rc::new(RefCell::new(World { agents, next_token: 100, ..World::default() }))
}

fn step(world: &SharedWorld, attempts: &mut Vec<Attempt>, choices: &mut Choices) {
    match choices.below(13) {
        0 if attempts.len() < ATTEMPTS => attempts.push(start(world, attempts.len(), choices)),
        1 if choices.below(4) == 0 => crash_entry(world, attempts, choices),
        2 if choices.below(3) == 0 => replace_agent(world, choices),
        3 => apply_late_write(world, choices),
        4..=6 => run_job(world, choices),
        7 => run_other_work(world, choices),
        _ => resolve_call(world, choices),
    }
}

fn start(world: &SharedWorld, number: usize, choices: &mut Choices) -> Attempt {
    // A caller now and then uses the key for another request.
    let digest = BodyDigest(if choices.below(8) == 0 { 8 } else { 7 });
    let first_attempt = number == 0 && choices.below(2) == 0;
    let runs_before = world.borrow().service_runs.len();
    let ports = Rc::new(WorldPorts {
        world: Rc::clone(world),
        attempt: number,
        tokens: RefCell::default(),
    });
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
fn crash_entry(world: &SharedWorld, attempts: &mut [Attempt], choices: &mut Choices) {
    if attempts.is_empty() {
        return;
    }
    let index = choices.below(attempts.len());
    if attempts[index].drive.take().is_none() {
        return;
    }
    attempts[index].crashed = true;
    let arrives = choices.below(2) == 0;
    let mut world = world.borrow_mut();
    let (lost, kept) =
        std::mem::take(&mut world.calls).into_iter().partition(|c| c.attempt == index);
    world.calls = kept;
    let lost: Vec<PendingCall> = lost;
    for call in lost.into_iter().filter(|_| arrives) {
        match call.kind {
            CallKind::Write { write, .. } => world.table.late.push(write),
            CallKind::Run { agent, tag, delivered: false, .. } => {
                deliver_run(&mut world, &agent, tag);
            }
            _ => {}
        }
    }
}

fn replace_agent(world: &SharedWorld, choices: &mut Choices) {
    let mut world = world.borrow_mut();
    world.next_token += 1;
    let incarnation = world.next_token;
    let index = choices.below(world.agents.len());
    world.agents[index].replace(incarnation);
}

fn apply_late_write(world: &SharedWorld, choices: &mut Choices) {
    let mut world = world.borrow_mut();
    if world.table.late.is_empty() {
        return;
    }
    let index = choices.below(world.table.late.len());
    let write = world.table.late.remove(index);
    let _ = world.table.apply(&write);
}

/// Lets an agent accept work of other callers, so that its epochs turn over.
fn run_other_work(world: &SharedWorld, choices: &mut Choices) {
    let world = &mut *world.borrow_mut();
    let index = choices.below(world.agents.len());
    for _ in 0..=choices.below(3) {
        world.next_token += 1;
        let agent = world.agents[index].agent_ref();
        let tag = WorkTag::new(WorkId(world.next_token), &agent);
        let _ = world.agents[index].gate.accept(&tag);
    }
}

/// Lets an agent, or a frozen former incarnation, end one accepted job.
fn run_job(world: &SharedWorld, choices: &mut Choices) {
    let world = &mut *world.borrow_mut();
    let index = choices.below(world.agents.len());
    let agent = &mut world.agents[index];
    if !agent.frozen.is_empty() && choices.below(2) == 0 {
        let permit = agent.frozen.remove(0);
        world.service_runs.push(permit.work());
        return;
    }
    if agent.waiting.is_empty() {
        return;
    }
    let permit = agent.waiting.remove(0);
    let work = permit.work();
    let end = match choices.below(6) {
        0 => {
            agent.gate.withdraw(permit);
            JobEnd::NotRun
        }
        1 => JobEnd::BackendLost,
        2 => {
            world.service_runs.push(work);
            JobEnd::BackendLost
        }
        _ => {
            world.service_runs.push(work);
            JobEnd::Answered(answer_of(work))
        }
    };
    agent.ended.insert(work, end);
}

fn resolve_call(world: &SharedWorld, choices: &mut Choices) {
    let mut world = world.borrow_mut();
    if world.calls.is_empty() {
        return;
    }
    let index = choices.below(world.calls.len());
    let call = world.calls.remove(index);
    let fault = choices.below(8);
    if let Some(call) = resolve(&mut world, call, fault) {
        world.calls.push(call);
    }
}

/// Lets all calls and jobs end without further faults.
fn settle_all(world: &SharedWorld, attempts: &mut [Attempt]) {
    for _ in 0..200 {
        poll_all(attempts);
        let calls = std::mem::take(&mut world.borrow_mut().calls);
        for call in calls {
            let mut world = world.borrow_mut();
            if let Some(call) = resolve(&mut world, call, usize::MAX) {
                world.calls.push(call);
            }
        }
        let mut calm = Choices::new(Vec::new());
        for _ in 0..8 {
            end_waiting_jobs(world);
            apply_late_write(world, &mut calm);
        }
    }
}

fn end_waiting_jobs(world: &SharedWorld) {
    let world = &mut *world.borrow_mut();
    for agent in &mut world.agents {
        for permit in agent.waiting.drain(..) {
            world.service_runs.push(permit.work());
            agent.ended.insert(permit.work(), JobEnd::Answered(answer_of(permit.work())));
        }
        for permit in agent.frozen.drain(..) {
            world.service_runs.push(permit.work());
        }
    }
}

/// Resolves a call under a fault; hands it back while it has to wait.
fn resolve(world: &mut World, call: PendingCall, fault: usize) -> Option<PendingCall> {
    let attempt = call.attempt;
    match call.kind {
        CallKind::Write { write, reply } => {
            let result = match fault {
                0 => Err(StoreFault::NoEffect),
                1 => {
                    let _ = world.table.apply(&write);
                    Err(StoreFault::Unclear)
                }
                2 => {
                    world.table.late.push(write);
                    Err(StoreFault::Unclear)
                }
                3 => Err(StoreFault::Unclear),
                _ => Ok(world.table.apply(&write)),
            };
            let _ = reply.send(result);
            None
        }
        CallKind::Read { reply } => {
            let lost = fault < 2;
            let result = if lost { Err(StoreFault::Unclear) } else { Ok(world.table.row.clone()) };
            let _ = reply.send(result);
            None
        }
        CallKind::Run { agent, tag, delivered, reply } => {
            let known = if delivered { None } else { deliver_run(world, &agent, tag) };
            let result = match (fault, known) {
                (0, _) => Some(RunReply::Unreachable),
                (_, Some(refused)) => Some(refused),
                _ => ended(world, &agent, tag.work).map(run_reply),
            };
            let Some(result) = result else {
                let kind = CallKind::Run { agent, tag, delivered: true, reply };
                return Some(PendingCall { attempt, kind });
            };
            let _ = reply.send(result);
            None
        }
        CallKind::Attach { agent, tag, delivered, reply } => {
            let known = if delivered { None } else { deliver_attach(world, &agent, tag) };
            let result = match (fault, known) {
                (0, _) => Some(AttachReply::Unreachable),
                (_, Some(verdict)) => Some(verdict),
                _ => ended(world, &agent, tag.work).map(attach_reply),
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
fn deliver_run(world: &mut World, agent: &AgentRef, tag: WorkTag) -> Option<RunReply> {
    let sim = world.agents.iter_mut().find(|sim| sim.address == agent.address)?;
    match sim.gate.accept(&tag) {
        AcceptVerdict::Run(permit) => {
            sim.waiting.push(permit);
            None
        }
        AcceptVerdict::Accepted => None,
        AcceptVerdict::Sealed | AcceptVerdict::NotCurrent => {
            Some(RunReply::Refused { retry_after: None })
        }
    }
}

fn deliver_attach(world: &mut World, agent: &AgentRef, tag: WorkTag) -> Option<AttachReply> {
    let sim = world.agents.iter_mut().find(|sim| sim.address == agent.address)?;
    match sim.gate.attach(&tag) {
        AttachVerdict::Accepted => None,
        AttachVerdict::Sealed => Some(AttachReply::Sealed),
        AttachVerdict::Forgotten => Some(AttachReply::Forgotten),
        AttachVerdict::OtherIncarnation => Some(AttachReply::Replaced),
    }
}

/// What a reader learns of a job that has ended.
enum Followed {
    Ended(JobEnd),
    /// The incarnation was replaced.
    Lost,
}

fn ended(world: &World, agent: &AgentRef, work: WorkId) -> Option<Followed> {
    let sim = world.agents.iter().find(|sim| sim.address == agent.address)?;
    if sim.gate.incarnation() != agent.incarnation {
        return Some(Followed::Lost);
    }
    sim.ended.get(&work).cloned().map(Followed::Ended)
}

fn run_reply(end: Followed) -> RunReply {
    match end {
        Followed::Ended(JobEnd::Answered(answer)) => RunReply::Answered(answer),
        Followed::Ended(JobEnd::BackendLost) => RunReply::BackendLost,
        Followed::Ended(JobEnd::NotRun) => RunReply::Refused { retry_after: None },
        Followed::Lost => RunReply::Unreachable,
    }
}

fn attach_reply(end: Followed) -> AttachReply {
    match end {
        Followed::Ended(JobEnd::Answered(answer)) => AttachReply::Answered(answer),
        Followed::Ended(JobEnd::BackendLost) => AttachReply::BackendLost,
        Followed::Ended(JobEnd::NotRun) => AttachReply::Sealed,
        Followed::Lost => AttachReply::Unreachable,
    }
}

/// The service's answer names the token that it ran.
pub fn answer_of(work: WorkId) -> RecordedAnswer {
    let body = work.to_string().into_bytes();
    RecordedAnswer { status: 200, content_type: "text/plain".into(), body }
}
