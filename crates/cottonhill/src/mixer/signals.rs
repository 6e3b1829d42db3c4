//! Signal handling of a mixer: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the files.

use super::reload::MixerContext;
use crate::error::RuntimeError;
use crate::log_targets::PROGRAM;
use cottonhill_mixer::transport::Control;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Starts tasks that translate signals into control messages to the transport. Must be called inside a `LocalSet`.
///
/// # Errors
/// A signal handler can't be installed.
pub fn forward_signals(
    context: &Rc<MixerContext>,
    controls: &mpsc::Sender<Control>,
) -> Result<(), RuntimeError> {
    for kind in [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ] {
        let signals = signal(kind).map_err(RuntimeError::MixerSignals)?;
        tokio::task::spawn_local(forward(kind, signals, context.clone(), controls.clone()));
    }
    Ok(())
}

async fn forward(
    kind: SignalKind,
    mut signals: Signal,
    context: Rc<MixerContext>,
    controls: mpsc::Sender<Control>,
) {
    while signals.recv().await.is_some() {
        let control = if kind == SignalKind::hangup() {
            Control::Reload(context.reload())
        } else {
            tracing::info!(target: PROGRAM, "shutdown requested by SIGTERM or SIGINT");
            Control::Terminate
        };
        // Sending fails if the transport has ended; the signal then has no effect.
        let _ = controls.send(control).await;
    }
}
