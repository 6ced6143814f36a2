//! Serves a stream and tells its end.

use std::io;
use std::rc::Rc;

use clementine_http1::ServerConn;
use spdlog::info;

use super::supervise::{End, Supervisor};
use crate::buffered::send_buffered;
use crate::callers::refuse;
use crate::hub::{Hub, RequestContext};

/// Serves a request that is answered with a stream of events.
pub(crate) async fn serve(
    conn: &mut ServerConn,
    hub: &Rc<Hub>,
    ctx: &RequestContext,
) -> io::Result<()> {
    let mut supervisor = Supervisor::new(hub, ctx);
    let end = supervisor.finish(conn).await?;
    log(hub, ctx, &supervisor, &end);
    let closing = hub.drain.is_draining();
    match end {
        End::Complete => conn.finish_stream().await,
        // An orderly end would make the stream look complete.
        End::CallerLeft | End::BrokenOff(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        End::Refused(refusal) => refuse(conn, &ctx.req.id, refusal, closing).await,
        End::Failed(whole) => send_buffered(conn, &whole, closing).await,
    }
}

fn log(hub: &Hub, ctx: &RequestContext, supervisor: &Supervisor<'_>, end: &End) {
    let outcome = match end {
        End::Complete => "complete",
        End::CallerLeft => "caller-left",
        End::Refused(refusal) => refusal.kind.code(),
        End::Failed(_) => "backend-failed",
        End::BrokenOff(reason) => reason,
    };
    let progress = &supervisor.progress;
    hub.metrics.count_request(&ctx.rule.name, outcome);
    if let Some(first) = progress.first_at() {
        hub.metrics.record_stream(first - ctx.arrived, progress.longest_pause());
    }
    let first = progress.first_at().map(|at| (at - ctx.arrived).as_millis());
    let counts = &supervisor.counts;
    info!(
        "stream: id={} route={} outcome={} runs={} refused_sends={} repaths={} events={} \
         first_ms={:?} longest_pause_ms={} legs={} crossings={} after_ms={}",
        ctx.req.id,
        ctx.rule.name,
        outcome,
        counts.runs,
        counts.refused,
        counts.repaths,
        progress.events(),
        first,
        progress.longest_pause().as_millis(),
        counts.legs,
        counts.crossings,
        ctx.elapsed_ms()
    );
}
