//! The timer that triggers a batch when no other event arrives.

use crate::batch::Batch;
use crate::{Action, Nanos};

/// Token of the timer. The coordinator has a single timer, so any value works.
const TIMER_TOKEN: u64 = 0;

/// The time for which the timer was last scheduled.
#[derive(Debug, Default)]
pub struct Timer {
    fires_at: Option<Nanos>,
}

impl Timer {
    /// Schedules the timer for `next` unless it is already scheduled for `next` or earlier.
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
