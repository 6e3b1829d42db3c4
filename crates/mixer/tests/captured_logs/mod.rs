//! What is logged while a test runs, a line for each event: its level, then its fields.

use std::fmt::{Debug, Write};
use std::sync::{Arc, Mutex};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::DefaultGuard;
use tracing::{Event, Metadata, Subscriber};

/// Collects the lines of this thread until it is dropped.
pub struct Logs {
    lines: Arc<Mutex<Vec<String>>>,
    _guard: DefaultGuard,
}

struct Collector(Arc<Mutex<Vec<String>>>);

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

impl Logs {
    pub fn collect() -> Logs {
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let guard = tracing::subscriber::set_default(Collector(lines.clone()));
        Logs {
            lines,
            _guard: guard,
        }
    }

    /// The lines at a level that have all of these words.
    pub fn with(&self, level: &str, words: &[&str]) -> Vec<String> {
        let has = |line: &&String| {
            line.starts_with(level) && words.iter().all(|word| line.contains(word))
        };
        self.lines
            .lock()
            .unwrap()
            .iter()
            .filter(has)
            .cloned()
            .collect()
    }

    /// Checks that there is such a line, once.
    pub fn assert_one(&self, level: &str, words: &[&str]) {
        let found = self.with(level, words);
        assert_eq!(
            found.len(),
            1,
            "{level} {words:?}: {found:#?} of {:#?}",
            self.lines.lock().unwrap()
        );
    }
}
