//! Processing of requests: deduplication, admission, execution and reading of
//! the response.

use std::rc::Rc;

use clementine_decide::admission::{AdmissionDecision, Urgency};
use clementine_decide::dedup::{AcceptDecision, AttachDecision, RunPermit, WorkTag};
use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::ids::{Tick, WorkId};
use clementine_decide::quarantine::{
    CrashEvidence, CrashReport, Fingerprint, RunSuspects, Suspect,
};
use clementine_objects::{Millis, Repeat};
use clementine_wire::{
    AttachResponse, NotRunReason, Progress, ReadRequest, ReadResponse, RunRefusal, RunRequest,
    RunResponse, WorkOutcome,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Job, SharedState, SuspectGuard};
use crate::backend::{CallOutcome, call_backend};
use crate::responses::ResponseBuffer;
use crate::stages::run_chain;

/// Maximum time for which a run call waits for the first progress.
const FIRST_PROGRESS_WAIT: Millis = Millis(200);

/// Time for which an attach call waits for the run request before it seals the
/// work.
const ATTACH_WAIT: Millis = Millis(250);

/// Retry delay given to a suspect that is refused while another suspect is in
/// progress here, or while the backend server may have crashed.
const SUSPECT_RETRY_AFTER: Millis = Millis(100);

/// Interval between evictions of expired responses and idle stage requests.
const EVICTION_INTERVAL: Millis = Millis(1_000);

impl SharedState {
    /// Handles a run request: executes the work unless it is a duplicate or is
    /// refused, and returns its first progress.
    pub(crate) async fn run(self: &Rc<Self>, request: RunRequest) -> RunResponse {
        let (work, repeat) = (request.tag.work, request.repeat);
        for completed in &request.completed {
            self.responses.borrow_mut().release(*completed);
        }
        let decision = match repeat {
            Repeat::Never => self.once_dedup.borrow_mut().accept(&request.tag),
            Repeat::Safe => self.repeatable_dedup.borrow_mut().accept_repeatable(work),
        };
        self.dedup_changed.notify_waiters();
        match decision {
            AcceptDecision::Run(permit) => {
                if let Err(refusal) = self.admit(request, permit) {
                    return RunResponse::Refused(refusal, self.status());
                }
            }
            AcceptDecision::Accepted => {}
            AcceptDecision::Sealed | AcceptDecision::NotCurrent => {
                let refusal = self.refusal(NotRunReason::NotCurrent, None);
                return RunResponse::Refused(refusal, self.status());
            }
        }
        let first = ReadRequest { work, offset: 0 };
        match self.read(&[first], FIRST_PROGRESS_WAIT).await.pop() {
            Some(ReadResponse::Progress(progress)) => RunResponse::Started(progress, self.status()),
            Some(ReadResponse::NotHeld) | None => {
                let lost = Progress {
                    outcome: Some(WorkOutcome::BackendLost(None)),
                    ..Progress::default()
                };
                RunResponse::Started(lost, self.status())
            }
        }
    }

    /// Returns the progress of several work items, in the same order, once one of
    /// them has progress or is not held, or after `wait`.
    pub(crate) async fn read(&self, requests: &[ReadRequest], wait: Millis) -> Vec<ReadResponse> {
        let buffers: Vec<_> =
            requests.iter().map(|request| self.responses.borrow().get(request.work)).collect();
        let pairs = || buffers.iter().zip(requests);
        if !buffers.iter().any(Option::is_none) {
            let changes = pairs().map(|(buffer, request)| async move {
                if let Some(buffer) = buffer {
                    buffer.wait_for_progress(request.offset).await;
                }
            });
            let any_change: FuturesUnordered<_> = changes.collect();
            let _ = timeout(wait.duration(), any_change.into_future()).await;
        }
        let respond = |(buffer, request): (&Option<Rc<ResponseBuffer>>, &ReadRequest)| match buffer
        {
            Some(buffer) => buffer.read(request.offset),
            None => ReadResponse::NotHeld,
        };
        pairs().map(respond).collect()
    }

    /// Attaches to work, or seals it if it was not accepted.
    ///
    /// The run request may still be in transit from another entry. It is given
    /// [`ATTACH_WAIT`] to arrive, so that concurrent retries do not seal each
    /// other's work.
    pub(crate) async fn attach(&self, tag: &WorkTag) -> AttachResponse {
        let decided = async {
            while !self.once_dedup.borrow().is_decided(tag) {
                self.dedup_changed.notified().await;
            }
        };
        let _ = timeout(ATTACH_WAIT.duration(), decided).await;
        match self.once_dedup.borrow_mut().attach(tag) {
            AttachDecision::Accepted if self.responses.borrow().get(tag.work).is_some() => {
                AttachResponse::Accepted
            }
            AttachDecision::Accepted | AttachDecision::Forgotten => AttachResponse::Forgotten,
            AttachDecision::Sealed => AttachResponse::Sealed,
            AttachDecision::OtherIncarnation => AttachResponse::OtherIncarnation,
        }
    }

    /// Cancels work: queued work is never executed, and the running work of a
    /// repeatable request is interrupted. Other running work continues.
    pub(crate) fn cancel(&self, work: WorkId) {
        let waiting = self.admission.borrow_mut().remove(work);
        if let Some(job) = waiting {
            self.finish_not_run(job, NotRunReason::Cancelled);
            return;
        }
        if let Some(response) = self.responses.borrow().get(work) {
            response.cancel();
        }
    }

    /// Merges what an entry knows of a request that crashes backend servers, and returns
    /// what is known of it then.
    pub(crate) fn exchange_crashes(
        &self,
        fingerprint: Fingerprint,
        crashes: Option<&CrashReport>,
    ) -> Option<CrashReport> {
        let now = self.clock.now();
        let mut crash_log = self.crash_log.borrow_mut();
        if let Some(report) = crashes {
            crash_log.merge(report, now);
        }
        crash_log.report_on(Suspect::Request(fingerprint), now)
    }

    /// Executes jobs that hold a slot.
    pub(super) fn spawn_jobs(self: &Rc<Self>, jobs: Vec<Job>) {
        for job in jobs {
            let shared = Rc::clone(self);
            spawn_local(async move { shared.execute(job).await });
        }
    }

    /// Periodically evicts expired responses and idle stage requests; never
    /// returns.
    pub(crate) async fn evict_periodically(self: Rc<Self>) {
        loop {
            sleep(EVICTION_INTERVAL.duration()).await;
            self.responses.borrow_mut().evict_expired(self.clock.now());
            self.stages().evict_idle();
        }
    }

    fn admit(
        self: &Rc<Self>,
        mut request: RunRequest,
        permit: RunPermit,
    ) -> Result<(), RunRefusal> {
        // The request may have waited while the process was paused.
        let waited = self.pauses.max_wait();
        let has_expired = waited > Millis(0) && request.time_left <= waited;
        request.time_left = Millis(request.time_left.0.saturating_sub(waited.0));
        if has_expired {
            self.dedup(request.repeat).borrow_mut().withdraw(permit);
            return Err(self.refusal(NotRunReason::DeadlinePassed, None));
        }
        if let Some(refusal) = self.precheck(&request) {
            self.dedup(request.repeat).borrow_mut().withdraw(permit);
            return Err(refusal);
        }
        let now = self.clock.now();
        let (work, repeat) = (request.tag.work, request.repeat);
        let urgency = Urgency { level: request.level, deadline: now.after(request.time_left) };
        let response = self.responses.borrow_mut().create(work, repeat);
        let suspected = self.crash_log.borrow().is_suspected(request.fingerprint, now);
        let suspect = if suspected { SuspectGuard::try_admit(&self.suspect_gate) } else { None };
        let in_progress = self.drain.track();
        let deadline = urgency.deadline;
        let job = Job { request, permit, response, deadline, suspect, in_progress };
        let decision = self.admission.borrow_mut().offer(work, job, urgency, now);
        match decision {
            AdmissionDecision::Start(job) => self.spawn_jobs(vec![job]),
            AdmissionDecision::Queued => self.expire_at(urgency.deadline),
            AdmissionDecision::Refused(refused) => {
                self.responses.borrow_mut().discard(work);
                self.dedup(repeat).borrow_mut().withdraw(refused.item.permit);
                return Err(self.refusal(NotRunReason::Overloaded, Some(refused.retry_after)));
            }
        }
        Ok(())
    }

    fn precheck(&self, request: &RunRequest) -> Option<RunRefusal> {
        if self.drain.is_draining() {
            return Some(self.refusal(NotRunReason::Leaving, None));
        }
        let now = self.clock.now();
        let mut crash_log = self.crash_log.borrow_mut();
        if let Some(report) = &request.crashes {
            crash_log.merge(report, now);
        }
        if crash_log.is_quarantined(&RunSuspects::of_request(request.fingerprint), now) {
            return Some(self.refusal(NotRunReason::Quarantined, None));
        }
        if !self.backend_up.get() {
            return Some(self.refusal(NotRunReason::BackendDown, None));
        }
        let suspect = crash_log.is_suspected(request.fingerprint, now);
        let apart = suspect && !self.suspect_gate.borrow().is_open();
        apart.then(|| self.refusal(NotRunReason::SuspectsApart, Some(SUSPECT_RETRY_AFTER)))
    }

    fn refusal(&self, reason: NotRunReason, retry_after: Option<Millis>) -> RunRefusal {
        self.metrics.count_refusal(reason_label(reason));
        RunRefusal { reason, retry_after }
    }

    fn expire_at(self: &Rc<Self>, deadline: Tick) {
        let shared = Rc::clone(self);
        spawn_local(async move {
            sleep(deadline.since(shared.clock.now()).duration()).await;
            let expired = shared.admission.borrow_mut().take_expired(shared.clock.now());
            for job in expired {
                shared.finish_not_run(job, NotRunReason::DeadlinePassed);
            }
        });
    }

    async fn execute(self: &Rc<Self>, job: Job) {
        let started = self.clock.now();
        let outcome = self.run_with_limit(&job).await;
        let elapsed = self.clock.now().since(started);
        let next_jobs = match outcome {
            CallOutcome::NotSent => {
                self.mark_backend_down();
                self.finish_not_run(job, NotRunReason::BackendDown);
                self.admission.borrow_mut().release()
            }
            CallOutcome::Sent(outcome) => {
                let outcome = self.name_lost_server(&job, outcome);
                self.record_outcome(&job, outcome);
                self.finish(&job, outcome);
                drop((job.suspect, job.in_progress));
                self.admission.borrow_mut().finish(elapsed)
            }
        };
        self.spawn_jobs(next_jobs);
    }

    /// Executes a job until it finishes, reaches its time limit or is cancelled.
    ///
    /// Only repeatable requests are interrupted at their deadline or by
    /// cancellation. The others are limited by the operation limit alone, because
    /// interrupting one leaves its outcome unknown.
    async fn run_with_limit(self: &Rc<Self>, job: &Job) -> CallOutcome {
        let time_left = job.deadline.since(self.clock.now());
        let interruptible = job.request.repeat == Repeat::Safe;
        let limit = if interruptible { time_left } else { self.settings.operation_limit };
        tokio::select! {
            outcome = self.dispatch(&job.request, &job.response) => outcome,
            () = sleep(limit.duration()) => CallOutcome::Sent(WorkOutcome::DeadlinePassed),
            () = job.response.wait_cancelled(), if interruptible => {
                CallOutcome::Sent(WorkOutcome::Cancelled)
            }
        }
    }

    async fn dispatch(
        self: &Rc<Self>,
        request: &RunRequest,
        response: &ResponseBuffer,
    ) -> CallOutcome {
        match &request.split {
            None => {
                call_backend(self.settings.backend, &self.idle_connections, request, response).await
            }
            Some(plan) => run_chain(self.stages(), request, plan, response).await,
        }
    }

    /// Names the server under which work was lost: the one behind this agent, or an unknown
    /// one on the path of a split model.
    fn name_lost_server(&self, job: &Job, outcome: WorkOutcome) -> WorkOutcome {
        match outcome {
            WorkOutcome::BackendLost(_) if job.request.split.is_some() => {
                let server = BackendIncarnation::lost_with(job.request.tag.work);
                WorkOutcome::BackendLost(Some(server))
            }
            WorkOutcome::BackendLost(_) => {
                WorkOutcome::BackendLost(Some(self.backend_incarnation()))
            }
            _ => outcome,
        }
    }

    /// Records what the end of a run says about its request and its server. A server that
    /// broke off a run counts as crashed, also if it accepts connections right afterwards:
    /// the process may have been replaced.
    fn record_outcome(self: &Rc<Self>, job: &Job, outcome: WorkOutcome) {
        self.metrics.count_run(outcome_label(outcome));
        let suspects = RunSuspects::of_request(job.request.fingerprint);
        let now = self.clock.now();
        match outcome {
            WorkOutcome::BackendLost(Some(server)) if job.request.split.is_none() => {
                let certain = CrashEvidence::Certain;
                self.crash_log.borrow_mut().record_crash(&suspects, server, certain, now);
                self.record_backend_loss();
            }
            WorkOutcome::Complete => {
                self.crash_log.borrow_mut().record_completion(&suspects, now);
            }
            _ => {}
        }
    }

    fn finish_not_run(&self, job: Job, reason: NotRunReason) {
        let refusal = self.refusal(reason, None);
        let outcome =
            WorkOutcome::NotRun { reason: refusal.reason, retry_after: refusal.retry_after };
        self.finish(&job, outcome);
        self.dedup(job.request.repeat).borrow_mut().withdraw(job.permit);
    }

    fn finish(&self, job: &Job, outcome: WorkOutcome) {
        job.response.finish(outcome);
        let (work, repeat) = (job.request.tag.work, job.request.repeat);
        self.responses.borrow_mut().record_end(work, repeat, self.clock.now());
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

const fn outcome_label(outcome: WorkOutcome) -> &'static str {
    match outcome {
        WorkOutcome::Complete => "complete",
        WorkOutcome::NotRun { .. } => "not_run",
        WorkOutcome::BackendLost(_) => "backend_lost",
        WorkOutcome::DeadlinePassed => "deadline_passed",
        WorkOutcome::Cancelled => "cancelled",
        WorkOutcome::TooLarge => "too_large",
    }
}
