//! The interface to the frontends of other protocols.

use super::shared::Shared;
use super::QueryClient;
use crate::reducer::Input;

/// Starts the frontend of another protocol; called once queries can be sent.
pub type FrontendStarter = Box<dyn FnOnce(QueryClient, FrontendGuard)>;

/// Keeps the mixer from exiting, until the shutdown deadline. A frontend drops it once its listener is closed, all its
/// requests are answered and its connections are closed.
pub struct FrontendGuard {
    shared: Shared,
}

impl FrontendGuard {
    pub(super) fn new(shared: Shared) -> FrontendGuard {
        FrontendGuard { shared }
    }
}

impl Drop for FrontendGuard {
    fn drop(&mut self) {
        self.shared.queue_input(Input::FrontendClosed);
    }
}
