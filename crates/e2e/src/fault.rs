//! Faults of a backend server, its agent and the connections to it.

use crate::cluster::Backend;
use crate::proxy::ProxyMode;

/// A fault of a backend server, its agent or the connections to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The backend server is killed.
    KillServer,
    /// The agent is killed.
    KillAgent,
    /// The agent is frozen.
    FreezeAgent,
    /// Open connections to the agent go silent; new ones work.
    SilenceConnection,
    /// Open connections to the agent are closed; new ones work.
    CutConnection,
    /// All connections to the agent go silent, new ones too.
    SilenceAddress,
}

impl Backend {
    /// Lets a fault happen.
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
