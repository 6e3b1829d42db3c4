//! The timer that wakes the coordinator when no event arrives.

use crate::batch::Batch;
use crate::{Action, Nanos};

/// The coordinator's only timer, which needs no token to tell it from others.
const TIMER_TOKEN: u64 = 0;

/// When the timer was last asked to fire.
#[derive(Debug, Default)]
pub struct Timer {
    fires_at: Option<Nanos>,
}

impl Timer {
    /// Makes sure that the timer fires at `next` or before.
    pub fn schedule(&mut self, batch: &mut Batch, next: Nanos) {
        let already_scheduled = self
            .fires_at
            .is_some_and(|fires_at| fires_at > batch.now && fires_at <= next);
        if already_scheduled {
            return;
        }
        self.fires_at = Some(next);
        batch.actions.push(Action::SetTimer {
            token: TIMER_TOKEN,
            delay: next.saturating_sub(batch.now),
        });
    }
}
