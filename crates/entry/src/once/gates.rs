//! The agents of a route's pool, on behalf of one operation.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use clementine_decide::balance::Exclusions;
use clementine_decide::dedup::WorkTag;
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
use crate::model::{RUN_WAIT, ReadFault, WorkReader};

/// Time in which an agent decides on an attachment.
const ATTACH_WAIT: Millis = Millis(300);

/// Pause between attempts to reach an agent.
const ATTACH_PAUSE: Duration = Duration::from_millis(100);

/// Time before the deadline at which the answer is given up on, so that the
/// caller is still told.
const ANSWER_MARGIN: Millis = Millis(50);

/// The agents of a route's pool, on behalf of one operation.
#[derive(Debug)]
pub(crate) struct AgentGates<'a> {
    entry: &'a Entry,
    caller: &'a CallerRequest,
    pool: &'a PoolName,
}

/// How the answer of accepted work ended.
enum Followed {
    Answered(RecordedResponse),
    NotRun { retry_after: Option<Millis> },
    BackendLost,
    Forgotten,
    Unreachable,
}

impl<'a> AgentGates<'a> {
    /// The agents of a pool.
    pub(crate) const fn new(
        entry: &'a Entry,
        caller: &'a CallerRequest,
        pool: &'a PoolName,
    ) -> Self {
        Self { entry, caller, pool }
    }

    /// The member at an agent's address, made up for one that is not in this
    /// entry's subset.
    fn member(&self, agent: &AgentRef) -> Rc<Member> {
        let known = self.entry.fleet.member(agent.address);
        known.unwrap_or_else(|| {
            self.entry.fleet.make_member(&ListedInstance {
                address: agent.address,
                pool: self.pool.clone(),
                domain: "".into(),
                state: InstanceState::Live,
            })
        })
    }

    fn order(&self, tag: WorkTag) -> RunRequest {
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
            done: Vec::new(),
            split: None,
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        let caller = self.caller;
        Fingerprint::of_request(&caller.workspace.name, &caller.path, &caller.body)
    }

    /// Notes that the backend server broke off while it ran the operation.
    async fn note_crash(&self) {
        self.entry.spread_crash(self.fingerprint(), std::slice::from_ref(self.pool)).await;
    }

    fn out_of_time(&self) -> bool {
        self.caller.time_left(self.entry.clock.now()) <= ANSWER_MARGIN
    }

    /// Reads the answer of accepted work until it ends.
    async fn follow(&self, member: Rc<Member>, work: WorkId, first: Option<Progress>) -> Followed {
        let mut answer = Answer::default();
        let mut reader = WorkReader::new(member, work, 0);
        if let Some(progress) = first {
            reader.skip(&progress);
            if let Some(followed) = answer.take(progress) {
                return followed;
            }
        }
        while !self.out_of_time() {
            match reader.next(self.entry).await {
                Ok(progress) => {
                    if let Some(followed) = answer.take(progress) {
                        return followed;
                    }
                }
                Err(ReadFault::NotHeld) => return Followed::Forgotten,
                Err(ReadFault::Lost) => sleep(ATTACH_PAUSE).await,
            }
        }
        Followed::Unreachable
    }
}

impl AgentPool for AgentGates<'_> {
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
        let _outstanding = member.enter();
        let order = self.order(tag);
        let call =
            member.link.call(RUN_WAIT, |client, cx| async move { client.run(cx, order).await });
        match call.await {
            Ok(RunResponse::Started(progress, news)) => {
                member.note_news(news);
                match self.follow(Rc::clone(&member), tag.work, Some(progress)).await {
                    Followed::Answered(answer) => RunReply::Answered(answer),
                    Followed::NotRun { retry_after } => RunReply::Refused { retry_after },
                    Followed::BackendLost => {
                        self.note_crash().await;
                        RunReply::BackendLost
                    }
                    Followed::Forgotten | Followed::Unreachable => RunReply::Unreachable,
                }
            }
            Ok(RunResponse::Refused(refusal, news)) => {
                member.note_news(news);
                RunReply::Refused { retry_after: refusal.retry_after }
            }
            // Nothing sends the order later: it will never run.
            Err(LinkError::NotSent) => {
                member.note_failure(self.entry.clock.now());
                RunReply::Refused { retry_after: None }
            }
            Err(LinkError::ConnectionLost) => {
                member.note_failure(self.entry.clock.now());
                RunReply::Unreachable
            }
        }
    }

    async fn attach(&self, agent: &AgentRef, tag: WorkTag) -> AttachReply {
        let member = self.member(agent);
        let _outstanding = member.enter();
        loop {
            let call = member
                .link
                .call(ATTACH_WAIT, |client, cx| async move { client.attach(cx, tag).await });
            match call.await {
                Ok(AttachResponse::Accepted) => {
                    return match self.follow(member, tag.work, None).await {
                        Followed::Answered(answer) => AttachReply::Answered(answer),
                        Followed::NotRun { .. } => AttachReply::Sealed,
                        Followed::BackendLost => AttachReply::BackendLost,
                        Followed::Forgotten => AttachReply::Forgotten,
                        Followed::Unreachable => AttachReply::Unreachable,
                    };
                }
                Ok(AttachResponse::Sealed) => return AttachReply::Sealed,
                Ok(AttachResponse::Forgotten) => return AttachReply::Forgotten,
                Ok(AttachResponse::OtherIncarnation) => return AttachReply::Replaced,
                // Nothing listens there, and the list shows it no more.
                Err(LinkError::NotSent) if self.is_delisted(agent) => return AttachReply::Replaced,
                Err(_) if self.out_of_time() => return AttachReply::Unreachable,
                Err(_) => sleep(ATTACH_PAUSE).await,
            }
        }
    }
}

impl AgentGates<'_> {
    fn is_delisted(&self, agent: &AgentRef) -> bool {
        self.entry.fleet.was_listed() && !self.entry.fleet.lists(agent.address)
    }
}

/// An answer that is being read.
#[derive(Default)]
struct Answer {
    head: Option<HttpResponseHead>,
    body: BytesMut,
}

impl Answer {
    /// Takes in progress; returns how the answer ended, if it did.
    fn take(&mut self, progress: Progress) -> Option<Followed> {
        if progress.head.is_some() {
            self.head = progress.head;
        }
        for chunk in &progress.chunks {
            self.body.extend_from_slice(chunk);
        }
        match progress.end? {
            WorkOutcome::Complete => Some(self.recorded()),
            WorkOutcome::NotRun { retry_after, .. } => Some(Followed::NotRun { retry_after }),
            WorkOutcome::BackendLost
            | WorkOutcome::DeadlinePassed
            | WorkOutcome::Cancelled
            | WorkOutcome::TooLarge => Some(Followed::BackendLost),
        }
    }

    fn recorded(&mut self) -> Followed {
        let Some(head) = &self.head else { return Followed::BackendLost };
        let content_type = head.headers.iter().find(|header| header.name == "content-type");
        let content_type = content_type.map(|header| String::from_utf8_lossy(&header.value));
        Followed::Answered(RecordedResponse {
            status: head.status,
            content_type: content_type.unwrap_or_default().into(),
            body: self.body.to_vec(),
        })
    }
}
