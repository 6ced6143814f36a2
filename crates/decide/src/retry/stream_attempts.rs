//! Limits on the attempts at one stream.

/// Maximum number of retries after attempts in which the request was not
/// executed. They do not count towards the attempts that the route rule allows.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 4;
/// Maximum number of retries after attempts in which the request was not
/// executed, for a stream that the caller is already receiving.
const MAX_UNEXECUTED_RESUMES: u32 = 12;
/// Maximum number of attempts beyond those that the route rule allows. One is
/// granted for each attempt that ended because a backend server went down.
const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Attempts at one stream so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamAttempts {
    /// Attempts in which the request may have been executed.
    pub executed: u32,
    /// Attempts in which the request was not executed.
    pub not_executed: u32,
    /// Attempts that ended because one of their backend servers went down.
    pub lost_to_down_backend: u32,
}

impl StreamAttempts {
    /// Whether another attempt is allowed. `max_attempts` is the limit of the route
    /// rule, `resumable` whether an executed request may be sent again, and
    /// `receiving` whether the caller already receives the stream.
    pub fn allow_another(&self, max_attempts: u32, resumable: bool, receiving: bool) -> bool {
        let max_executed = max_attempts + self.lost_to_down_backend.min(MAX_EXTRA_ATTEMPTS);
        let max_unexecuted =
            if receiving { MAX_UNEXECUTED_RESUMES } else { MAX_UNEXECUTED_ATTEMPTS };
        let may_repeat = self.executed == 0 || resumable;
        may_repeat && self.executed < max_executed && self.not_executed <= max_unexecuted
    }
}
