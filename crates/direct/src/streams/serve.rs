//! Serves a stream and logs its outcome.

use std::io;
use std::rc::Rc;

use clementine_http1::ServerConn;
use spdlog::info;

use super::supervise::{StreamOutcome, Supervisor};
use crate::buffered::send_buffered;
use crate::callers::send_error;
use crate::shared::{RequestContext, SharedState};

/// Serves a request whose response is a stream of events.
pub(crate) async fn serve(
    conn: &mut ServerConn,
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
) -> io::Result<()> {
    let mut supervisor = Supervisor::new(shared, ctx);
    let outcome = supervisor.run(conn).await?;
    log_outcome(shared, ctx, &supervisor, &outcome);
    let closing = shared.drain.is_draining();
    match outcome {
        StreamOutcome::Complete => conn.finish_stream().await,
        // The connection is aborted without the final chunk, because a properly
        // terminated body would look like a complete stream.
        StreamOutcome::CallerLeft | StreamOutcome::Truncated(_) => {
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        StreamOutcome::Refused(error) => send_error(conn, &ctx.req.id, error, closing).await,
        StreamOutcome::ErrorResponse(error) => send_buffered(conn, &error, closing).await,
    }
}

fn log_outcome(
    shared: &SharedState,
    ctx: &RequestContext,
    supervisor: &Supervisor<'_>,
    outcome: &StreamOutcome,
) {
    let outcome = match outcome {
        StreamOutcome::Complete => "complete",
        StreamOutcome::CallerLeft => "caller-left",
        StreamOutcome::Refused(error) => error.kind.code(),
        StreamOutcome::ErrorResponse(_) => "backend-failed",
        StreamOutcome::Truncated(reason) => reason,
    };
    let progress = &supervisor.progress;
    shared.metrics.count_request(&ctx.rule.name, outcome);
    if let Some(first_event_at) = progress.first_event_at() {
        shared.metrics.record_stream(first_event_at - ctx.arrived, progress.longest_pause());
    }
    let first_event_ms = progress.first_event_at().map(|at| (at - ctx.arrived).as_millis());
    let stats = &supervisor.stats;
    info!(
        "stream: id={} route={} workspace={} outcome={} runs={} refused_sends={} repaths={} \
         events={} first_ms={:?} longest_pause_ms={} legs={} crossings={} after_ms={}",
        ctx.req.id,
        ctx.rule.name,
        ctx.workspace_name(),
        outcome,
        stats.attempts.executed,
        stats.attempts.not_executed,
        stats.repaths,
        progress.events_sent(),
        first_event_ms,
        progress.longest_pause().as_millis(),
        stats.stages,
        stats.domain_crossings,
        ctx.elapsed_ms()
    );
}
