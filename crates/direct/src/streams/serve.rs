//! Serves a stream and tells its end.

use std::io;
use std::rc::Rc;

use clementine_http1::ServerConn;
use spdlog::info;

use super::supervise::{End, Supervisor};
use crate::callers::refuse;
use crate::hub::{Hub, Job};
use crate::whole::send_whole;

/// Serves a request that is answered with a stream of events.
pub(crate) async fn serve(conn: &mut ServerConn, hub: &Rc<Hub>, job: &Job) -> io::Result<()> {
    let mut supervisor = Supervisor::new(hub, job);
    let end = supervisor.finish(conn).await?;
    log(hub, job, &supervisor, &end);
    let closing = hub.drain.is_draining();
    match end {
        End::Complete => conn.finish_stream().await,
        // An orderly end would make the stream look complete.
        End::CallerLeft | End::BrokenOff(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        End::Refused(refusal) => refuse(conn, &job.req.id, refusal, closing).await,
        End::Failed(whole) => send_whole(conn, &whole, closing).await,
    }
}

fn log(hub: &Hub, job: &Job, supervisor: &Supervisor<'_>, end: &End) {
    let outcome = match end {
        End::Complete => "complete",
        End::CallerLeft => "caller-left",
        End::Refused(refusal) => refusal.kind.code(),
        End::Failed(_) => "backend-failed",
        End::BrokenOff(reason) => reason,
    };
    let progress = &supervisor.progress;
    hub.meters.count_request(&job.rule.name, outcome);
    if let Some(first) = progress.first_at() {
        hub.meters.record_stream(first - job.arrived, progress.longest_pause());
    }
    let first = progress.first_at().map(|at| (at - job.arrived).as_millis());
    let counts = &supervisor.counts;
    info!(
        "stream: id={} route={} outcome={} runs={} refused_sends={} repaths={} events={} \
         first_ms={:?} longest_pause_ms={} legs={} crossings={} after_ms={}",
        job.req.id,
        job.rule.name,
        outcome,
        counts.runs,
        counts.refused,
        counts.repaths,
        progress.events(),
        first,
        progress.longest_pause().as_millis(),
        counts.legs,
        counts.crossings,
        job.age_ms()
    );
}
