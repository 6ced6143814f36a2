//! The path of a request through the agent.

use std::rc::Rc;

use clementine_decide::admission::{AdmissionDecision, Urgency};
use clementine_decide::dedup::{AcceptDecision, AttachDecision, RunPermit, WorkTag};
use clementine_decide::ids::{Tick, WorkId};
use clementine_decide::quarantine::Fingerprint;
use clementine_objects::{Millis, Repeat};
use clementine_wire::{
    AttachResponse, NotRunReason, Progress, ReadRequest, ReadResponse, RunRefusal, RunRequest,
    RunResponse, WorkOutcome,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Core, Job};
use crate::answers::AnswerBuffer;
use crate::backend::{CallEnd, call_backend};
use crate::stages::run_chain;

/// Longest wait for the first progress of accepted work.
const FIRST_PROGRESS_WAIT: Millis = Millis(200);

/// Time for which an attachment waits for the order that it attaches to.
const ORDER_PATIENCE: Millis = Millis(250);

/// Pause that a refused suspect is told, while another one runs here.
const SUSPECT_PAUSE: Millis = Millis(100);

/// Pause between sweeps of what is kept.
const SWEEP_PAUSE: Millis = Millis(1_000);

impl Core {
    /// Decides on an order, runs it when admitted and returns its first
    /// progress.
    pub(crate) async fn run(self: &Rc<Self>, order: RunRequest) -> RunResponse {
        let (work, repeat) = (order.tag.work, order.repeat);
        for done in &order.done {
            self.shelf.borrow_mut().close(*done);
        }
        let verdict = match repeat {
            Repeat::Never => self.once.borrow_mut().accept(&order.tag),
            Repeat::Safe => self.repeatable.borrow_mut().accept_repeatable(work),
        };
        self.accepted.notify_waiters();
        match verdict {
            AcceptDecision::Run(permit) => {
                if let Err(refusal) = self.admit(order, permit) {
                    return RunResponse::Refused(refusal, self.news());
                }
            }
            AcceptDecision::Accepted => {}
            AcceptDecision::Sealed | AcceptDecision::NotCurrent => {
                let refusal = self.refusal(NotRunReason::NotCurrent, None);
                return RunResponse::Refused(refusal, self.news());
            }
        }
        let first = ReadRequest { work, offset: 0 };
        match self.read(&[first], FIRST_PROGRESS_WAIT).await.pop() {
            Some(ReadResponse::Progress(progress)) => RunResponse::Started(progress, self.news()),
            Some(ReadResponse::NotHeld) | None => {
                let lost = Progress { end: Some(WorkOutcome::BackendLost), ..Progress::default() };
                RunResponse::Started(lost, self.news())
            }
        }
    }

    /// Progress of several pieces of work, as soon as one has some or is not
    /// held.
    pub(crate) async fn read(&self, orders: &[ReadRequest], wait: Millis) -> Vec<ReadResponse> {
        let answers: Vec<_> = orders.iter().map(|o| self.shelf.borrow().get(o.work)).collect();
        let pairs = || answers.iter().zip(orders);
        if !answers.iter().any(Option::is_none) {
            let changes = pairs().map(|(answer, order)| async move {
                if let Some(answer) = answer {
                    answer.changed(order.offset).await;
                }
            });
            let any_change: FuturesUnordered<_> = changes.collect();
            let _ = timeout(wait.duration(), any_change.into_future()).await;
        }
        let reply = |(answer, order): (&Option<Rc<AnswerBuffer>>, &ReadRequest)| match answer {
            Some(answer) => answer.read(order.offset),
            None => ReadResponse::NotHeld,
        };
        pairs().map(reply).collect()
    }

    /// Attaches to an operation, sealing it where it was not accepted.
    ///
    /// The order to run it may be under way from another entry: it is given
    /// time to arrive, so that simultaneous repetitions do not seal each other.
    pub(crate) async fn attach(&self, tag: &WorkTag) -> AttachResponse {
        let decided = async {
            while !self.once.borrow().is_decided(tag) {
                self.accepted.notified().await;
            }
        };
        let _ = timeout(ORDER_PATIENCE.duration(), decided).await;
        match self.once.borrow_mut().attach(tag) {
            AttachDecision::Accepted if self.shelf.borrow().get(tag.work).is_some() => {
                AttachResponse::Accepted
            }
            AttachDecision::Accepted | AttachDecision::Forgotten => AttachResponse::Forgotten,
            AttachDecision::Sealed => AttachResponse::Sealed,
            AttachDecision::OtherIncarnation => AttachResponse::OtherIncarnation,
        }
    }

    /// Gives up work: waiting work never runs, running work that may be run
    /// again is broken off.
    pub(crate) fn cancel(&self, work: WorkId) {
        let waiting = self.admission.borrow_mut().remove(work);
        if let Some(job) = waiting {
            self.end_unrun(job, NotRunReason::Cancelled);
            return;
        }
        if let Some(answer) = self.shelf.borrow().get(work) {
            answer.cancel();
        }
    }

    /// Learns how many backend servers a request has crashed, and returns how
    /// many are known of here.
    pub(crate) fn note_crashes(&self, request: Fingerprint, crashes: u32) -> u32 {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.merge_crashes(request, crashes, now);
        quarantine.crashes(request, now)
    }

    /// Starts jobs that have got a slot.
    pub(super) fn start_all(self: &Rc<Self>, jobs: Vec<Job>) {
        for job in jobs {
            let core = Rc::clone(self);
            spawn_local(async move { core.execute(job).await });
        }
    }

    /// Sweeps kept answers and requests of split models for ever.
    pub(crate) async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_PAUSE.duration()).await;
            self.shelf.borrow_mut().sweep(self.clock.now());
            self.stages().sweep();
        }
    }

    fn admit(self: &Rc<Self>, order: RunRequest, permit: RunPermit) -> Result<(), RunRefusal> {
        if let Some(refusal) = self.precheck(&order) {
            self.gate(order.repeat).borrow_mut().withdraw(permit);
            return Err(refusal);
        }
        let now = self.clock.now();
        let (work, repeat) = (order.tag.work, order.repeat);
        let urgency = Urgency { level: order.level, deadline: now.after(order.time_left) };
        let answer = self.shelf.borrow_mut().open(work, repeat);
        let suspected = self.quarantine.borrow().must_run_alone(order.fingerprint, now);
        let suspect = suspected.then(|| self.suspects.track());
        let in_progress = self.drain.track();
        let deadline = urgency.deadline;
        let job = Job { order, permit, answer, deadline, suspect, in_progress };
        let offer = self.admission.borrow_mut().offer(work, job, urgency, now);
        match offer {
            AdmissionDecision::Start(job) => self.start_all(vec![job]),
            AdmissionDecision::Queued => self.expire_at(urgency.deadline),
            AdmissionDecision::Refused(refused) => {
                self.shelf.borrow_mut().discard(work);
                self.gate(repeat).borrow_mut().withdraw(refused.item.permit);
                return Err(self.refusal(NotRunReason::Overloaded, Some(refused.retry_after)));
            }
        }
        Ok(())
    }

    fn precheck(&self, order: &RunRequest) -> Option<RunRefusal> {
        if self.drain.is_draining() {
            return Some(self.refusal(NotRunReason::Leaving, None));
        }
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.merge_crashes(order.fingerprint, order.crashes, now);
        if quarantine.is_quarantined(order.fingerprint, now) {
            return Some(self.refusal(NotRunReason::Quarantined, None));
        }
        let suspect = quarantine.must_run_alone(order.fingerprint, now);
        if suspect && self.suspects.in_progress() > 0 {
            return Some(self.refusal(NotRunReason::SuspectsApart, Some(SUSPECT_PAUSE)));
        }
        (!self.backend_up.get()).then(|| self.refusal(NotRunReason::BackendDown, None))
    }

    fn refusal(&self, reason: NotRunReason, retry_after: Option<Millis>) -> RunRefusal {
        self.metrics.count_refusal(reason_label(reason));
        RunRefusal { reason, retry_after }
    }

    fn expire_at(self: &Rc<Self>, deadline: Tick) {
        let core = Rc::clone(self);
        spawn_local(async move {
            sleep(deadline.since(core.clock.now()).duration()).await;
            let expired = core.admission.borrow_mut().take_expired(core.clock.now());
            for job in expired {
                core.end_unrun(job, NotRunReason::DeadlinePassed);
            }
        });
    }

    async fn execute(self: &Rc<Self>, job: Job) {
        let started = self.clock.now();
        let end = self.call(&job).await;
        let took = self.clock.now().since(started);
        let freed = match end {
            CallEnd::NeverSent => {
                self.note_backend_down();
                self.end_unrun(job, NotRunReason::BackendDown);
                self.admission.borrow_mut().release()
            }
            CallEnd::Sent(end) => {
                self.note_end(&job, end);
                self.finish(&job, end);
                drop((job.suspect, job.in_progress));
                self.admission.borrow_mut().finish(took)
            }
        };
        self.start_all(freed);
    }

    /// Runs a job until it ends, its time is over or its caller gives it up.
    async fn call(self: &Rc<Self>, job: &Job) -> CallEnd {
        let time_left = job.deadline.since(self.clock.now());
        let may_break_off = job.order.repeat == Repeat::Safe;
        let limit = if may_break_off { time_left } else { self.settings.operation_limit };
        tokio::select! {
            end = self.send(&job.order, &job.answer) => end,
            () = sleep(limit.duration()) => CallEnd::Sent(WorkOutcome::DeadlinePassed),
            () = job.answer.cancelled(), if may_break_off => CallEnd::Sent(WorkOutcome::Cancelled),
        }
    }

    async fn send(self: &Rc<Self>, order: &RunRequest, answer: &AnswerBuffer) -> CallEnd {
        match &order.split {
            None => call_backend(self.settings.backend, &self.idle, order, answer).await,
            Some(plan) => run_chain(self.stages(), order, plan, answer).await,
        }
    }

    fn note_end(&self, job: &Job, end: WorkOutcome) {
        self.metrics.count_run(end_label(end));
        let mut quarantine = self.quarantine.borrow_mut();
        match end {
            WorkOutcome::BackendLost if job.order.split.is_none() => {
                quarantine.record_crash(job.order.fingerprint, self.clock.now());
            }
            WorkOutcome::Complete => quarantine.record_success(job.order.fingerprint),
            _ => {}
        }
    }

    fn end_unrun(&self, job: Job, reason: NotRunReason) {
        let refusal = self.refusal(reason, None);
        let end = WorkOutcome::NotRun { reason: refusal.reason, retry_after: refusal.retry_after };
        self.finish(&job, end);
        self.gate(job.order.repeat).borrow_mut().withdraw(job.permit);
    }

    fn finish(&self, job: &Job, end: WorkOutcome) {
        job.answer.finish(end);
        let (work, repeat) = (job.order.tag.work, job.order.repeat);
        self.shelf.borrow_mut().note_ended(work, repeat, self.clock.now());
    }
}

const fn reason_label(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Overloaded => "overloaded",
        NotRunReason::SuspectsApart => "suspects_apart",
        NotRunReason::DeadlinePassed => "deadline_passed",
        NotRunReason::Leaving => "leaving",
        NotRunReason::NotCurrent => "not_current",
        NotRunReason::BackendDown => "backend_down",
        NotRunReason::Quarantined => "quarantined",
        NotRunReason::Cancelled => "cancelled",
    }
}

const fn end_label(end: WorkOutcome) -> &'static str {
    match end {
        WorkOutcome::Complete => "complete",
        WorkOutcome::NotRun { .. } => "not_run",
        WorkOutcome::BackendLost => "backend_lost",
        WorkOutcome::DeadlinePassed => "deadline_passed",
        WorkOutcome::Cancelled => "cancelled",
        WorkOutcome::TooLarge => "too_large",
    }
}
