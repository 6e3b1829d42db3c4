//! Why a command fails: one type for each exit code, gathered in [`CommandError`].

use cottonhill_ini::SettingsErrors;
use cottonhill_ledger::store;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing_subscriber::util::TryInitError;

/// What a command returns.
pub type CommandResult = Result<(), CommandError>;

/// Why a command ended without success. Its text is printed on standard error as one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line asks for something that makes no sense.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// A file of configuration or settings can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// A failure while running.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
}

impl CommandError {
    /// The exit code of the process, as the help text states it.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Runtime(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::Configuration(_) => 3,
        }
    }
}

impl From<SettingsErrors> for CommandError {
    fn from(problems: SettingsErrors) -> CommandError {
        ConfigurationError::InvalidSettings(problems).into()
    }
}

impl From<store::Error> for CommandError {
    fn from(error: store::Error) -> CommandError {
        RuntimeError::Store(error).into()
    }
}

/// A command line that clap accepts and that still can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The start of a period is not a timestamp.
    #[error("'{0}' is no time, as in 2026-12-01T00:00:00Z")]
    InvalidTimestamp(String),
    /// A timestamp at which no period starts.
    #[error("no period begins at {requested}; the one that holds it begins at {start}")]
    NoSuchPeriod {
        /// The timestamp as it was given.
        requested: String,
        /// Start of the period that contains it.
        start: String,
    },
    /// The value of `--within` is not a duration.
    #[error("--within {value}: {reason}")]
    InvalidDuration {
        /// The value as it was given.
        value: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Neither client records nor counters were named.
    #[error("there is nothing to reconcile with: --clients FILE or --counters NAME=FILE")]
    NothingToReconcile,
    /// The value of `--counters` has no `=`.
    #[error("'{0}' is not NAME=FILE")]
    InvalidCounters(String),
}

/// A configuration or settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// No configuration is named.
    #[error("no configuration: --config or BALANCER_CONFIG has to name it")]
    NoConfiguration,
    /// The configuration can't be read.
    #[error("cannot read the configuration {}: {source}", .path.display())]
    UnreadableConfiguration {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The configuration is malformed.
    #[error("{}: {reason}", .path.display())]
    InvalidConfiguration {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        reason: String,
    },
    /// The settings can't be read.
    #[error("cannot read the settings {}: {source}", .path.display())]
    UnreadableSettings {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The settings are malformed or contradict each other.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsErrors),
    /// Certificate or key of a front can't be used; says which file.
    #[error("{0}")]
    InvalidCertificate(String),
    /// The settings name no store.
    #[error("no store: [settlement] store has to name it in the settings (--settings FILE)")]
    NoStore,
    /// The settings name nowhere to send documents to.
    #[error("[export] names neither a folder nor a url")]
    NoExportTarget,
}

/// A failure while running.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// Standard output can't be written.
    #[error("standard output: {0}")]
    StandardOutput(io::Error),
    /// A table can't be formatted as CSV.
    #[error(transparent)]
    FormatCsv(csv::Error),
    /// A statement can't be formatted as JSON.
    #[error(transparent)]
    FormatJson(serde_json::Error),
    /// Logging can't be started.
    #[error(transparent)]
    StartLogging(TryInitError),
    /// Levels of the running logger can't be changed.
    #[error(transparent)]
    ReloadLogging(tracing_subscriber::reload::Error),
    /// The mixer's asynchronous runtime can't be started.
    #[error("no runtime: {0}")]
    StartMixerRuntime(io::Error),
    /// The mixer can't receive signals.
    #[error("no signals: {0}")]
    MixerSignals(io::Error),
    /// A listening socket can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The socket for messages of other mixers can't be bound.
    #[error("cannot listen for other mixers: {0}")]
    ListenForPeers(io::Error),
    /// The usage log can't be opened.
    #[error("usage log: {0}")]
    UsageLog(io::Error),
    /// The settlement's asynchronous runtime or its signal handlers can't be started.
    #[error(transparent)]
    StartSettlement(io::Error),
    /// There is no file where the settings say that the store is.
    #[error("there is no store at {}: has 'ledger serve' ever run?", .0.display())]
    MissingStore(PathBuf),
    /// The store can't be opened.
    #[error("{}: {source}", .path.display())]
    OpenStore {
        /// The store's file.
        path: PathBuf,
        /// Why it can't be opened.
        source: store::Error,
    },
    /// The store can't be read or written, or refuses a request.
    #[error(transparent)]
    Store(store::Error),
    /// There is no statement of the period asked for.
    #[error("there is no such statement: see 'cottonhill ledger periods'")]
    NoSuchStatement,
    /// A file or directory can't be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// The file or directory.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A CSV file can't be read.
    #[error("{}: {source}", .path.display())]
    ReadCsv {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: csv::Error,
    },
    /// A JSON file can't be parsed.
    #[error("{}: {source}", .path.display())]
    ReadJson {
        /// The file.
        path: PathBuf,
        /// Why it can't be parsed.
        source: serde_json::Error,
    },
    /// A document was not acknowledged in time.
    #[error("document {id} is not acknowledged: {reason}")]
    DocumentNotAcknowledged {
        /// The document's id.
        id: String,
        /// What came of the last attempt.
        reason: String,
    },
    /// Ledger and the other side differ in so many places.
    #[error("{0} differences")]
    Differences(usize),
    /// So many stored claims do not hold.
    #[error("{0} things are wrong")]
    Inconsistencies(usize),
}
