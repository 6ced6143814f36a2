//! The agents of a route's pool, as used by one at-most-once operation.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use clementine_decide::balance::Exclusions;
use clementine_decide::dedup::WorkTag;
use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::operation::{AgentPool, AttachReply, RecordedResponse, RunReply};
use clementine_decide::quarantine::Fingerprint;
use clementine_objects::{Millis, PoolName, Repeat};
use clementine_stores::{InstanceState, ListedInstance};
use clementine_wire::{
    AttachResponse, HttpResponseHead, LinkError, Progress, RunRequest, RunResponse, WorkOutcome,
};
use tokio::time::sleep;

use crate::callers::CallerRequest;
use crate::entry::Entry;
use crate::fleet::Member;
use crate::retryable::{RUN_TIMEOUT, ReadError, WorkReader};

/// Maximum expected response time of an `attach` call.
const ATTACH_TIMEOUT: Millis = Millis(300);

/// Pause between attempts to contact an agent.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Time before the deadline at which waiting for the response stops, so that the
/// error still reaches the caller in time.
const RESPONSE_MARGIN: Millis = Millis(50);

/// Implements [`AgentPool`] with the agents of a route's pool.
#[derive(Debug)]
pub(crate) struct PoolAgents<'a> {
    entry: &'a Entry,
    caller: &'a CallerRequest,
    pool: &'a PoolName,
}

/// Result of reading the response of accepted work.
enum WorkResult {
    Answered(RecordedResponse),
    NotRun {
        retry_after: Option<Millis>,
    },
    /// Names the server if it may have crashed under the operation.
    BackendLost(Option<BackendIncarnation>),
    Forgotten,
    Unreachable,
}

impl<'a> PoolAgents<'a> {
    /// Uses the agents of `pool` on behalf of a caller's request.
    pub(crate) const fn new(
        entry: &'a Entry,
        caller: &'a CallerRequest,
        pool: &'a PoolName,
    ) -> Self {
        Self { entry, caller, pool }
    }

    /// Returns the member with an agent's address. For an agent outside this
    /// entry's subset, a temporary member is created.
    fn member(&self, agent: &AgentRef) -> Rc<Member> {
        let known = self.entry.fleet.member(agent.address);
        known.unwrap_or_else(|| {
            self.entry.fleet.create_member(&ListedInstance {
                address: agent.address,
                pool: self.pool.clone(),
                domain: "".into(),
                state: InstanceState::Live,
            })
        })
    }

    fn build_run_request(&self, tag: WorkTag) -> RunRequest {
        RunRequest {
            tag,
            request: self.caller.id,
            repeat: Repeat::Never,
            method: self.caller.method.clone(),
            path: self.caller.path.clone(),
            headers: self.caller.headers.clone(),
            body: self.caller.body.clone(),
            time_left: self.caller.time_left(self.entry.clock.now()),
            level: self.caller.level,
            fingerprint: self.fingerprint(),
            crashes: self.entry.known_crashes(self.fingerprint()),
            completed: Vec::new(),
            split: None,
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        let caller = self.caller;
        Fingerprint::of_request(caller.workspace.name.as_str(), &caller.path, &caller.body)
    }

    /// Reports that the backend server failed while it executed the operation.
    async fn report_crash(&self, server: BackendIncarnation) {
        let pools = std::slice::from_ref(self.pool);
        self.entry.broadcast_crash(self.fingerprint(), server, pools).await;
    }

    fn is_near_deadline(&self) -> bool {
        self.caller.time_left(self.entry.clock.now()) <= RESPONSE_MARGIN
    }

    /// Reads the response of accepted work to its end. While the agent is
    /// unreachable, retries until shortly before the deadline.
    async fn read_response(
        &self,
        member: Rc<Member>,
        work: WorkId,
        first: Option<Progress>,
    ) -> WorkResult {
        let mut response = ResponseBuffer::default();
        let mut reader = WorkReader::new(member, work, 0);
        if let Some(progress) = first {
            reader.skip(&progress);
            if let Some(result) = response.append(progress) {
                return result;
            }
        }
        while !self.is_near_deadline() {
            match reader.next(self.entry).await {
                Ok(progress) => {
                    if let Some(result) = response.append(progress) {
                        return result;
                    }
                }
                Err(ReadError::NotHeld) => return WorkResult::Forgotten,
                Err(ReadError::Unreachable) => sleep(RECONNECT_PAUSE).await,
            }
        }
        WorkResult::Unreachable
    }
}

impl AgentPool for PoolAgents<'_> {
    fn choose(&self, refused: &[AgentRef]) -> Option<AgentRef> {
        let candidates = self.entry.fleet.candidates(self.pool, self.entry.clock.now());
        let avoid = Exclusions { tried: refused.to_vec(), failed_domains: Vec::new() };
        let untried = self.entry.fleet.choose(&candidates, &avoid);
        untried.or_else(|| self.entry.fleet.choose(&candidates, &Exclusions::default()))
    }

    fn new_token(&self) -> WorkId {
        WorkId(rand::random())
    }

    async fn run(&self, agent: &AgentRef, tag: WorkTag) -> RunReply {
        let member = self.member(agent);
        let _outstanding = member.begin_request();
        let request = self.build_run_request(tag);
        let call = member
            .link
            .call(RUN_TIMEOUT, |client, cx| async move { client.run(cx, request).await });
        match call.await {
            Ok(RunResponse::Started(progress, status)) => {
                member.record_status(status);
                match self.read_response(Rc::clone(&member), tag.work, Some(progress)).await {
                    WorkResult::Answered(response) => {
                        self.entry.record_completion(self.fingerprint());
                        RunReply::Answered(response)
                    }
                    WorkResult::NotRun { retry_after } => RunReply::Refused { retry_after },
                    WorkResult::BackendLost(server) => {
                        if let Some(server) = server {
                            self.report_crash(server).await;
                        }
                        RunReply::BackendLost
                    }
                    WorkResult::Forgotten | WorkResult::Unreachable => RunReply::Unreachable,
                }
            }
            Ok(RunResponse::Refused(refusal, status)) => {
                member.record_status(status);
                RunReply::Refused { retry_after: refusal.retry_after }
            }
            // The request was not sent and is not retried, so it never executes.
            Err(LinkError::NotSent) => {
                member.record_failure(self.entry.clock.now());
                RunReply::Refused { retry_after: None }
            }
            Err(LinkError::ConnectionLost) => {
                member.record_failure(self.entry.clock.now());
                RunReply::Unreachable
            }
        }
    }

    async fn attach(&self, agent: &AgentRef, tag: WorkTag) -> AttachReply {
        let member = self.member(agent);
        let _outstanding = member.begin_request();
        loop {
            let call = member
                .link
                .call(ATTACH_TIMEOUT, |client, cx| async move { client.attach(cx, tag).await });
            match call.await {
                Ok(AttachResponse::Accepted) => {
                    return match self.read_response(member, tag.work, None).await {
                        WorkResult::Answered(response) => AttachReply::Answered(response),
                        WorkResult::NotRun { .. } => AttachReply::Sealed,
                        WorkResult::BackendLost(_) => AttachReply::BackendLost,
                        WorkResult::Forgotten => AttachReply::Forgotten,
                        WorkResult::Unreachable => AttachReply::Unreachable,
                    };
                }
                Ok(AttachResponse::Sealed) => return AttachReply::Sealed,
                Ok(AttachResponse::Forgotten) => return AttachReply::Forgotten,
                Ok(AttachResponse::OtherIncarnation) => return AttachReply::Replaced,
                // The address refuses connections and is no longer listed.
                Err(LinkError::NotSent) if self.is_delisted(agent) => return AttachReply::Replaced,
                Err(_) if self.is_near_deadline() => return AttachReply::Unreachable,
                Err(_) => sleep(RECONNECT_PAUSE).await,
            }
        }
    }
}

impl PoolAgents<'_> {
    fn is_delisted(&self, agent: &AgentRef) -> bool {
        self.entry.fleet.has_instance_list() && !self.entry.fleet.is_listed(agent.address)
    }
}

/// A partially read response.
#[derive(Default)]
struct ResponseBuffer {
    head: Option<HttpResponseHead>,
    body: BytesMut,
}

impl ResponseBuffer {
    /// Appends progress; returns the result if it ends the response.
    fn append(&mut self, progress: Progress) -> Option<WorkResult> {
        if progress.head.is_some() {
            self.head = progress.head;
        }
        for chunk in &progress.chunks {
            self.body.extend_from_slice(chunk);
        }
        match progress.outcome? {
            WorkOutcome::Complete => Some(self.finish()),
            WorkOutcome::NotRun { retry_after, .. } => Some(WorkResult::NotRun { retry_after }),
            WorkOutcome::BackendLost(server) => Some(WorkResult::BackendLost(server)),
            WorkOutcome::DeadlinePassed | WorkOutcome::Cancelled | WorkOutcome::TooLarge => {
                Some(WorkResult::BackendLost(None))
            }
        }
    }

    fn finish(&mut self) -> WorkResult {
        let Some(head) = &self.head else { return WorkResult::BackendLost(None) };
        let content_type = head.headers.iter().find(|header| header.name == "content-type");
        let content_type = content_type.map(|header| String::from_utf8_lossy(&header.value));
        WorkResult::Answered(RecordedResponse {
            status: head.status,
            content_type: content_type.unwrap_or_default().into(),
            body: self.body.to_vec(),
        })
    }
}
