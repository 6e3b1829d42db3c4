//! Errors of the commands: one type for each exit code, combined in [`CommandError`].

use cottonhill_ini::SettingsErrors;
use cottonhill_ledger::store;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing_subscriber::util::TryInitError;

/// The result of a command.
pub type CommandResult = Result<(), CommandError>;

/// The error of a failed command. Its text is printed on standard error as one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line is invalid.
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
    /// The exit code of the process; the help text documents it.
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

/// A command line that clap accepts and the command rejects.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The start of a period is not a timestamp.
    #[error("period '{0}' is not a timestamp such as 2026-12-01T00:00:00Z")]
    InvalidTimestamp(String),
    /// A timestamp at which no period starts.
    #[error("no period starts at {requested}; the one that contains it starts at {start}")]
    NoSuchPeriod {
        /// The timestamp on the command line.
        requested: String,
        /// Start of the period that contains it.
        start: String,
    },
    /// The value of `--within` is not a duration.
    #[error("--within {value}: {reason}")]
    InvalidDuration {
        /// The value on the command line.
        value: String,
        /// Why it is invalid.
        reason: String,
    },
    /// The command line names neither client records nor counters.
    #[error("nothing to reconcile with: give --clients FILE or --counters NAME=FILE")]
    NothingToReconcile,
    /// The value of `--counters` contains no `=`.
    #[error("--counters '{0}' is not NAME=FILE")]
    InvalidCounters(String),
}

/// A configuration or settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// Neither the command line nor the environment names a configuration.
    #[error("no configuration: name it with --config or BALANCER_CONFIG")]
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
    #[error("invalid configuration {}: {reason}", .path.display())]
    InvalidConfiguration {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
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
    /// The certificate or key of a frontend can't be used; the text names the file.
    #[error("{0}")]
    InvalidCertificate(String),
    /// The settings name no store.
    #[error("no store: name it with [settlement] store in the settings (--settings FILE)")]
    NoStore,
    /// The settings name no target for documents.
    #[error("no export target: set [export] folder or url")]
    NoExportTarget,
}

/// A failure while running.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// Standard output can't be written.
    #[error("cannot write standard output: {0}")]
    StandardOutput(io::Error),
    /// A table can't be formatted as CSV.
    #[error("cannot format the table as CSV: {0}")]
    FormatCsv(csv::Error),
    /// A statement can't be formatted as JSON.
    #[error("cannot format the statement as JSON: {0}")]
    FormatJson(serde_json::Error),
    /// Logging can't be started.
    #[error("cannot start logging: {0}")]
    StartLogging(TryInitError),
    /// The levels of the running logger can't be changed.
    #[error("cannot change the log levels: {0}")]
    ReloadLogging(tracing_subscriber::reload::Error),
    /// The mixer's asynchronous runtime can't be started.
    #[error("cannot start the asynchronous runtime: {0}")]
    StartMixerRuntime(io::Error),
    /// A signal handler of the mixer can't be installed.
    #[error("cannot install a signal handler: {0}")]
    MixerSignals(io::Error),
    /// A listening socket can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The socket for datagrams of other mixers can't be bound.
    #[error("cannot bind the socket for datagrams of other mixers: {0}")]
    ListenForPeers(io::Error),
    /// The usage log can't be opened.
    #[error("cannot open the usage log: {0}")]
    UsageLog(io::Error),
    /// The settlement's asynchronous runtime or its signal handlers can't be started.
    #[error("cannot start the settlement: {0}")]
    StartSettlement(io::Error),
    /// The store that the settings name does not exist.
    #[error("there is no store at {}: 'cottonhill ledger serve' creates it", .0.display())]
    MissingStore(PathBuf),
    /// The store can't be opened.
    #[error("cannot open the store {}: {source}", .path.display())]
    OpenStore {
        /// The store's file.
        path: PathBuf,
        /// Why it can't be opened.
        source: store::Error,
    },
    /// The store can't be read or written, or rejects a request.
    #[error(transparent)]
    Store(store::Error),
    /// There is no statement of the requested period, or no statement at all.
    #[error("there is no statement of the requested period, or no statement at all: 'cottonhill ledger periods' lists the closed periods")]
    NoSuchStatement,
    /// A file or directory can't be read.
    #[error("cannot read {}: {source}", .path.display())]
    ReadFile {
        /// The file or directory.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A CSV file can't be read.
    #[error("cannot read the CSV file {}: {source}", .path.display())]
    ReadCsv {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: csv::Error,
    },
    /// A JSON file can't be parsed.
    #[error("cannot parse the JSON file {}: {source}", .path.display())]
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
        /// The error of the last attempt.
        reason: String,
    },
    /// The number of differences between the ledger and the client records or counters.
    #[error("{0} differences between the ledger and the client records or counters")]
    Differences(usize),
    /// The number of inconsistencies in the store or the usage logs.
    #[error("{0} inconsistencies found in the store or the usage logs")]
    Inconsistencies(usize),
}
