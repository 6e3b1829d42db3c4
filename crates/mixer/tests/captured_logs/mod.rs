//! Captures the log events of a test, each as a line with the event's level and fields.

use std::fmt::{Debug, Write};
use std::sync::{Arc, Mutex};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::DefaultGuard;
use tracing::{Event, Metadata, Subscriber};

/// Captures the log lines of this thread until dropped.
pub struct CapturedLogs {
    lines: Arc<Mutex<Vec<String>>>,
    _guard: DefaultGuard,
}

/// A subscriber that stores every event as a line.
struct Collector(Arc<Mutex<Vec<String>>>);

/// The line of one event, to which the fields are appended.
struct Line(String);

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let _ = write!(self.0, " {}={value:?}", field.name());
    }
}

impl Subscriber for Collector {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event) {
        let mut line = Line(event.metadata().level().to_string());
        event.record(&mut line);
        self.0.lock().unwrap().push(line.0);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

impl CapturedLogs {
    pub fn start() -> CapturedLogs {
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let guard = tracing::subscriber::set_default(Collector(lines.clone()));
        CapturedLogs {
            lines,
            _guard: guard,
        }
    }

    /// The lines of the given level that contain all of the texts.
    pub fn matching_lines(&self, level: &str, texts: &[&str]) -> Vec<String> {
        let matches = |line: &&String| {
            line.starts_with(level) && texts.iter().all(|text| line.contains(text))
        };
        self.lines
            .lock()
            .unwrap()
            .iter()
            .filter(matches)
            .cloned()
            .collect()
    }

    /// Asserts that exactly one line of the given level contains all of the texts.
    pub fn assert_one_line(&self, level: &str, texts: &[&str]) {
        let found = self.matching_lines(level, texts);
        assert_eq!(
            found.len(),
            1,
            "{level} {texts:?}: {found:#?} of {:#?}",
            self.lines.lock().unwrap()
        );
    }
}
