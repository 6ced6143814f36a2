//! Messages about the slack of the retry budgets, which outlive a process of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use clementine_decide::peers::PeerDatagram;
use clementine_decide::retry::{SlackAnswer, SlackRecall};

use super::exchange::PeerExchange;

/// Interval at which this entry asks what its last process used of the retry budgets.
const RECALL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which it reports what it uses of them.
const SLACK_REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl PeerExchange {
    /// Reports what this entry uses of the slack of retry budgets, or asks what its last
    /// process used. Returns the time until the next such message.
    pub(super) async fn send_slack(&self) -> Duration {
        let (now, witnesses) = (self.shared.now(), self.witnesses());
        let report = self.shared.retry_budgets.borrow_mut().report(now);
        if let Some(report) = report {
            self.send_datagram(&PeerDatagram::SlackReport(report), &witnesses).await;
            return SLACK_REPORT_INTERVAL;
        }
        let recall = self.shared.retry_budgets.borrow().recall();
        self.send_datagram(&PeerDatagram::SlackRecall(recall), &witnesses).await;
        RECALL_INTERVAL
    }

    /// Entries that keep what this one uses of the retry budgets.
    pub(super) fn witnesses(&self) -> Vec<SocketAddr> {
        self.receivers.borrow().witnesses()
    }

    /// Tells an entry that has just started what its last process used of the retry
    /// budgets, if this entry has heard it.
    pub(super) async fn answer_recall(&self, recall: &SlackRecall, from: SocketAddr) {
        let recalled = self.shared.slack_reports.borrow().recall(recall, self.shared.now());
        let Some((age, marks)) = recalled else { return };
        let answer = SlackAnswer {
            from: self.shared.settings.entry.clone(),
            to: recall.incarnation,
            entries: self.shared.entry_count.get().get() as u32,
            age,
            marks,
        };
        self.send_datagram(&PeerDatagram::SlackAnswer(answer), &[from]).await;
    }
}
