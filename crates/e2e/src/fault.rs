//! Fault injection.

use crate::cluster::Backend;
use crate::proxy::ProxyMode;

/// A fault of a backend server, its agent or the connections to the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills the backend server.
    KillServer,
    /// Kills the agent.
    KillAgent,
    /// Pauses the agent with SIGSTOP.
    FreezeAgent,
    /// Forwards no more data on open connections to the agent and leaves them open;
    /// new connections work.
    SilenceConnection,
    /// Closes open connections to the agent; new connections work.
    CutConnection,
    /// Forwards no data on open and new connections to the agent.
    SilenceAddress,
}

impl Backend {
    /// Injects a fault.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillServer => self.server.kill(),
            Fault::KillAgent => self.agent.kill(),
            Fault::FreezeAgent => self.agent.pause(),
            Fault::SilenceConnection => self.proxy.blackhole_open_connections(),
            Fault::CutConnection => self.proxy.close_open_connections(),
            Fault::SilenceAddress => {
                self.proxy.set_mode(ProxyMode::Blackhole);
                self.proxy.blackhole_open_connections();
            }
        }
    }
}
