//! Progress bars on standard error if it is a terminal.

use indicatif::{ProgressBar, ProgressDrawTarget};
use std::io::IsTerminal;

/// A progress bar with this number of steps.
pub fn bar(steps: usize, message: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(steps as u64).with_message(message);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    bar
}
