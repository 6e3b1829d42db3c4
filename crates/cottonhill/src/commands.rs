//! `cottonhill ledger ...`: the settlement, and everything that people ask of the ledger.

use crate::logs::Logs;
use crate::output::{self, Done, Failure};
use crate::{settings, Files};
use clap::{Subcommand, ValueEnum};
use comfy_table::Table;
use cottonhill_ledger::log;
use cottonhill_ledger::period::{stamp, Period};
use cottonhill_ledger::rate::Counts;
use cottonhill_ledger::reconcile::{self, ClientUse};
use cottonhill_ledger::settings::Ledger as Settings;
use cottonhill_ledger::settle::Bounds;
use cottonhill_ledger::settlement::{self, Control};
use cottonhill_ledger::store::{digest, CorrectionLine, Store};
use cottonhill_ledger::{export, wire};
use cottonhill_mixer::reducer::usage;
use indicatif::{ProgressBar, ProgressDrawTarget};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum Format {
    #[default]
    Table,
    Json,
    Csv,
}

#[derive(clap::Args)]
pub struct Shape {
    /// How to print: a table for people, JSON or CSV for programs
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

#[derive(Subcommand)]
pub enum Ledger {
    /// Collect from the mixers, close periods and export, until told to end
    Serve,
    /// How far each mixer's records are in the ledger, and what waits to be sent
    Status(#[command(flatten)] Shape),
    /// The closed periods and their totals
    Periods(#[command(flatten)] Shape),
    /// The lines of a statement; the last one if no period is named
    Statement {
        /// The start of the period, as `periods` shows it
        period: Option<String>,
        /// Only this tenant's lines
        #[arg(long)]
        tenant: Option<String>,
        #[command(flatten)]
        shape: Shape,
    },
    /// Enter a correction; of a closed period it becomes a credit or debit document
    Correct {
        #[arg(long)]
        tenant: String,
        /// The start of the period to correct, as `periods` shows it
        #[arg(long)]
        period: String,
        /// Micro-units; below zero is a credit
        #[arg(long, allow_hyphen_values = true)]
        amount: i64,
        #[arg(long)]
        reason: String,
        #[arg(long)]
        author: String,
        /// Names the correction; the same one twice is an error
        #[arg(long)]
        id: Option<String>,
    },
    /// Send what waits in the outbox now, or list all documents
    Export {
        /// List only
        #[arg(long)]
        list: bool,
        /// How long to try
        #[arg(long, default_value = "60s", value_name = "TIME")]
        within: String,
        #[command(flatten)]
        shape: Shape,
    },
    /// Set the ledger beside what clients recorded, and beside the mixers' counters
    Reconcile {
        /// CSV with the columns at_ms, tenant, class, outcome, tries, key
        #[arg(long, value_name = "FILE")]
        clients: Option<PathBuf>,
        /// NAME=FILE: the answer of a mixer's /-/stats
        #[arg(long, value_name = "NAME=FILE")]
        counters: Vec<String>,
        #[command(flatten)]
        shape: Shape,
    },
    /// Check statements, documents and totals against the records, and logs byte by byte
    Verify {
        /// Folder of a mixer's usage log
        #[arg(long, value_name = "FOLDER")]
        log: Vec<PathBuf>,
    },
    /// Print records: those in the store, or those of one mixer's log
    Dump {
        #[arg(long, value_name = "FOLDER")]
        log: Option<PathBuf>,
        #[command(flatten)]
        shape: Shape,
    },
    /// The key under which the uses of an Idempotency-Key stand in the ledger
    Key {
        class: String,
        idempotency_key: String,
    },
}

/// Rows to print in whatever form is asked for.
struct Rows {
    head: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

impl Rows {
    fn new(head: &[&'static str]) -> Rows {
        Rows {
            head: head.to_vec(),
            rows: Vec::new(),
        }
    }

    fn print(self, shape: &Shape) -> Done {
        let Rows { head, rows } = self;
        let bytes = match shape.format {
            Format::Table => {
                let mut table = Table::new();
                let caps = head.iter().map(|name| name.to_uppercase());
                table
                    .load_preset(comfy_table::presets::NOTHING)
                    .set_header(caps);
                rows.iter().for_each(|row| {
                    table.add_row(row.iter().map(plain));
                });
                format!("{table}\n").into_bytes()
            }
            Format::Json => {
                let object = |row: Vec<Value>| {
                    Value::Object(head.iter().map(|h| h.to_string()).zip(row).collect())
                };
                let all: Vec<Value> = rows.into_iter().map(object).collect();
                format!("{:#}\n", Value::Array(all)).into_bytes()
            }
            Format::Csv => {
                let mut csv = csv::Writer::from_writer(Vec::new());
                let lines = std::iter::once(head.iter().map(|h| h.to_string()).collect());
                for line in lines.chain(
                    rows.iter()
                        .map(|row| row.iter().map(plain).collect::<Vec<_>>()),
                ) {
                    csv.write_record(line).map_err(Failure::running)?;
                }
                csv.into_inner().map_err(Failure::running)?
            }
        };
        output::print(&bytes)
    }
}

/// The settings and the store they name.
struct Opened {
    settings: Settings,
    path: PathBuf,
}

fn open(files: &Files) -> Result<Opened, Failure> {
    let own = settings::read(files)?;
    let settings = Settings::read(&own, &settings::SCHEMA).map_err(Failure::configuration)?;
    let path = settings.store.clone().ok_or_else(|| {
        Failure::configuration(
            "no store: [settlement] store has to name it in the settings (--settings FILE)",
        )
    })?;
    Ok(Opened { settings, path })
}

impl Opened {
    fn store(&self) -> Result<Store, Failure> {
        Store::open(&self.path)
            .map_err(|e| Failure::running(format!("{}: {e}", self.path.display())))
    }

    /// A store that is there already: what only reads must not make one.
    fn existing(&self) -> Result<Store, Failure> {
        if !self.path.exists() {
            let path = self.path.display();
            return Err(Failure::running(format!(
                "there is no store at {path}: has 'ledger serve' ever run?"
            )));
        }
        self.store()
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            horizon: self.settings.horizon,
            skew: self.settings.skew,
        }
    }

    /// The closed or open period that begins at a time as `periods` shows it.
    fn period(&self, store: &Store, text: &str) -> Result<Period, Failure> {
        let at: Option<i64> = text
            .parse()
            .ok()
            .map(|at: jiff::Timestamp| at.as_millisecond());
        let at = at.ok_or_else(|| {
            Failure::usage(format!("'{text}' is no time, as in 2026-12-01T00:00:00Z"))
        })?;
        let known = store.periods().map_err(Failure::running)?;
        let known = known
            .into_iter()
            .map(|(period, _)| period)
            .find(|period| period.start == at);
        let period = known.unwrap_or_else(|| self.settings.calendar.at(at));
        if period.start != at {
            let start = period.name();
            return Err(Failure::usage(format!(
                "no period begins at {text}; the one that holds it begins at {start}"
            )));
        }
        Ok(period)
    }
}

/// A bar on standard error where a person is looking.
fn progress(length: u64, message: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(length).with_message(message);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    bar
}

pub fn run(files: &Files, command: Ledger) -> Done {
    if let Ledger::Key {
        class,
        idempotency_key,
    } = &command
    {
        let key = usage::key_of_client(class, idempotency_key);
        return output::print(format!("{key:016x}\n").as_bytes());
    }
    if let Ledger::Dump {
        log: Some(directory),
        shape,
    } = &command
    {
        return dump_log(directory, shape);
    }
    if let Ledger::Verify { log } = &command {
        return verify(files, log);
    }
    let opened = open(files)?;
    match command {
        Ledger::Serve => serve(files, opened),
        Ledger::Status(shape) => status(&opened, &shape),
        Ledger::Periods(shape) => periods(&opened, &shape),
        Ledger::Statement {
            period,
            tenant,
            shape,
        } => statement(&opened, period, tenant, &shape),
        Ledger::Correct {
            tenant,
            period,
            amount,
            reason,
            author,
            id,
        } => {
            let mut store = opened.existing()?;
            let period = opened.period(&store, &period)?;
            let now = settlement::now();
            let made = || {
                digest(
                    format!("{tenant} {} {amount} {reason} {author} {now}", period.start)
                        .as_bytes(),
                )
            };
            let id = id.unwrap_or_else(|| made()[..16].to_string());
            let correction = CorrectionLine {
                id: id.clone(),
                tenant,
                amount,
                reason,
                author,
            };
            let document = store
                .correct(&correction, period, now)
                .map_err(Failure::running)?;
            let text = match document {
                Some(document) => {
                    format!(
                        "correction {id}: document {} of {amount} micro-units\n",
                        document.id
                    )
                }
                None => format!(
                    "correction {id}: it will stand in the statement of {}\n",
                    period.name()
                ),
            };
            output::print(text.as_bytes())
        }
        Ledger::Export {
            list,
            within,
            shape,
        } => send(&opened, list, &within, &shape),
        Ledger::Reconcile {
            clients,
            counters,
            shape,
        } => reconcile(&opened, clients, &counters, &shape),
        Ledger::Dump { shape, .. } => dump_store(&opened, &shape),
        Ledger::Verify { .. } | Ledger::Key { .. } => Ok(()),
    }
}

fn serve(files: &Files, opened: Opened) -> Done {
    let own = settings::read(files)?;
    let logs = Logs::start(&own)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(Failure::running)?;
    runtime.block_on(async move {
        let (sender, controls) = mpsc::channel(1);
        for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
            let mut signals = signal(kind).map_err(Failure::running)?;
            let sender = sender.clone();
            tokio::spawn(async move {
                if signals.recv().await.is_some() {
                    let _ = sender.send(Control::Terminate).await;
                }
            });
        }
        let mut hangups = signal(SignalKind::hangup()).map_err(Failure::running)?;
        let files = files.clone();
        tokio::spawn(async move {
            while hangups.recv().await.is_some() {
                let next = settings::read(&files).and_then(|next| {
                    let ledger = Settings::read(&next, &settings::SCHEMA).map_err(Failure::configuration)?;
                    logs.reload(&next)?;
                    Ok((next, ledger))
                });
                match next {
                    Ok((next, ledger)) => {
                        let restart = own.needs_restart(&next, &settings::SCHEMA).join(", ");
                        tracing::info!(restart, "settings read again");
                        let _ = sender.send(Control::Reload(Box::new(ledger))).await;
                    }
                    Err(Failure { message, .. }) => tracing::error!("the settings stay as they were: {message}"),
                }
            }
        });
        tracing::info!(store = %opened.path.display(), members = opened.settings.members.len(), "settlement starts");
        settlement::serve(opened.path, opened.settings, controls).await.map_err(Failure::running)
    })
}

fn status(opened: &Opened, shape: &Shape) -> Done {
    let store = opened.existing()?;
    let mut rows = Rows::new(&[
        "member",
        "configured",
        "incarnation",
        "sequence",
        "complete",
        "records",
        "lost",
        "died",
        "damaged",
    ]);
    let standings = store.standings().map_err(Failure::running)?;
    let mut names: Vec<String> = opened.settings.members.keys().cloned().collect();
    names.extend(standings.iter().map(|standing| standing.member.clone()));
    names.sort();
    names.dedup();
    for name in names {
        let configured = opened.settings.members.contains_key(&name);
        let row = match standings.iter().find(|standing| standing.member == name) {
            Some(s) => vec![
                json!(name),
                json!(configured),
                json!(s.position.incarnation),
                json!(s.position.sequence),
                json!(stamp(s.complete)),
                json!(s.records),
                json!(s.lost),
                json!(s.died),
                json!(s.damaged),
            ],
            None => [vec![json!(name), json!(configured)], vec![Value::Null; 7]].concat(),
        };
        rows.rows.push(row);
    }
    rows.print(shape)?;
    if matches!(shape.format, Format::Table) {
        let (waiting, next) = (
            store.outbox(
                opened.settings.export.folder.is_some(),
                opened.settings.export.url.is_some(),
            ),
            store.next_period(&opened.settings.calendar),
        );
        let next = next
            .map_err(Failure::running)?
            .map_or("none".into(), |period| period.name());
        let any = opened.settings.export.folder.is_some() || opened.settings.export.url.is_some();
        let waiting = if any {
            waiting.map_err(Failure::running)?.len()
        } else {
            0
        };
        output::print(
            format!("\nnext period to close: {next}\ndocuments to send: {waiting}\n").as_bytes(),
        )?;
    }
    Ok(())
}

fn periods(opened: &Opened, shape: &Shape) -> Done {
    let store = opened.existing()?;
    let mut rows = Rows::new(&[
        "period",
        "end",
        "closed",
        "uses",
        "adjusted",
        "ambiguous",
        "missing",
        "total",
        "hash",
    ]);
    for (it, hash, _) in store.statements().map_err(Failure::running)? {
        let count = |adjusts: bool, of: fn(&Counts) -> i64| -> i64 {
            it.lines
                .iter()
                .filter(|line| line.adjusts == adjusts)
                .map(|line| of(&line.counts))
                .sum()
        };
        let missing: Vec<&str> = it
            .members
            .iter()
            .filter(|m| m.missing)
            .map(|m| m.member.as_str())
            .collect();
        rows.rows.push(vec![
            json!(it.period),
            json!(it.end),
            json!(it.closed),
            json!(count(false, |c| c.uses)),
            json!(count(true, |c| c.uses)),
            json!(count(false, |c| c.ambiguous)),
            json!(missing.join(" ")),
            json!(it.total),
            json!(hash[..12]),
        ]);
    }
    rows.print(shape)
}

fn statement(
    opened: &Opened,
    period: Option<String>,
    tenant: Option<String>,
    shape: &Shape,
) -> Done {
    let store = opened.existing()?;
    let statements = store.statements().map_err(Failure::running)?;
    let found = match &period {
        Some(text) => {
            let name = opened.period(&store, text)?.name();
            statements.into_iter().find(|(it, ..)| it.period == name)
        }
        None => statements.into_iter().last(),
    };
    let Some((it, ..)) = found else {
        return Err(Failure::running(
            "there is no such statement: see 'cottonhill ledger periods'",
        ));
    };
    if matches!(shape.format, Format::Json) {
        let text = serde_json::to_string_pretty(&it).map_err(Failure::running)?;
        return output::print(format!("{text}\n").as_bytes());
    }
    let mut head = vec!["statement", "tenant", "class", "period", "kind"];
    head.extend(Counts::NAMES);
    head.push("amount");
    let mut rows = Rows::new(&head);
    let wanted = |name: &str| tenant.as_deref().is_none_or(|tenant| tenant == name);
    for line in it.lines.iter().filter(|line| wanted(&line.tenant)) {
        let kind = if line.adjusts { "adjustment" } else { "use" };
        let mut row = vec![
            json!(it.period),
            json!(line.tenant),
            json!(line.class),
            json!(line.period),
            json!(kind),
        ];
        row.extend(line.counts.values().map(|value| json!(value)));
        row.push(json!(line.amount));
        rows.rows.push(row);
    }
    for correction in it
        .corrections
        .iter()
        .filter(|correction| wanted(&correction.tenant))
    {
        let mut row = vec![
            json!(it.period),
            json!(correction.tenant),
            json!("-"),
            json!(it.period),
            json!("correction"),
        ];
        row.extend([0; 12].map(|zero: i64| json!(zero)));
        row.push(json!(correction.amount));
        rows.rows.push(row);
    }
    rows.print(shape)?;
    if matches!(shape.format, Format::Table) {
        let mut text = format!(
            "\nperiod {} to {}, closed {}; rounded {}\n",
            it.period, it.end, it.closed, it.rounding
        );
        for member in it
            .members
            .iter()
            .filter(|m| m.missing || m.lost + m.died + m.damaged > 0)
        {
            let complete = member.complete.as_deref().unwrap_or("never");
            text += &format!(
                "member {}: {}complete up to {complete}, {} records lost, {} runs died, {} damaged stretches\n",
                member.member,
                if member.missing { "MISSING, " } else { "" },
                member.lost,
                member.died,
                member.damaged
            );
        }
        for total in it.tenants.iter().filter(|total| wanted(&total.tenant)) {
            let allowance = total
                .allowance
                .map_or("none".to_string(), |allowance| allowance.to_string());
            text += &format!(
                "tenant {}: {} answered, allowance {allowance}, {} over it, {} micro-units\n",
                total.tenant, total.answered, total.over, total.amount
            );
        }
        text += &format!("total {} micro-units\n", it.total);
        output::print(text.as_bytes())?;
    }
    Ok(())
}

fn send(opened: &Opened, list: bool, within: &str, shape: &Shape) -> Done {
    let store = opened.existing()?;
    let to = &opened.settings.export;
    let (folder, url) = (to.folder.is_some(), to.url.is_some());
    if !list {
        let within = cottonhill_ini::time(within)
            .map_err(|why| Failure::usage(format!("--within {within}: {why}")))?;
        if !folder && !url {
            return Err(Failure::configuration(
                "[export] names neither a folder nor a url",
            ));
        }
        let until = Instant::now() + within;
        let waiting = store.outbox(folder, url).map_err(Failure::running)?;
        let bar = progress(waiting.len() as u64, "documents");
        for mut document in waiting {
            loop {
                let (in_folder, posted, error) = export::send(to, &document);
                let noted = store.sent(
                    &document.id,
                    in_folder,
                    posted,
                    error.as_deref(),
                    settlement::now(),
                );
                noted.map_err(Failure::running)?;
                document.in_folder |= in_folder;
                document.posted |= posted;
                document.attempts += 1;
                let Some(error) = error else { break };
                if Instant::now() >= until {
                    return Err(Failure::running(format!(
                        "document {} is not acknowledged: {error}",
                        document.id
                    )));
                }
                std::thread::sleep(
                    export::wait(to.again, document.attempts).min(Duration::from_secs(5)),
                );
            }
            bar.inc(1);
        }
        bar.finish_and_clear();
    }
    let mut rows = Rows::new(&["document", "in_folder", "posted", "attempts", "error"]);
    for it in store.outbox(false, false).map_err(Failure::running)? {
        let row = vec![
            json!(it.id),
            json!(it.in_folder),
            json!(it.posted),
            json!(it.attempts),
            json!(it.error),
        ];
        rows.rows.push(row);
    }
    rows.print(shape)
}

fn reconcile(
    opened: &Opened,
    clients: Option<PathBuf>,
    counters: &[String],
    shape: &Shape,
) -> Done {
    let store = opened.existing()?;
    if clients.is_none() && counters.is_empty() {
        return Err(Failure::usage(
            "there is nothing to reconcile with: --clients FILE or --counters NAME=FILE",
        ));
    }
    let mut wrong = 0;
    if let Some(path) = clients {
        let at = |e: csv::Error| Failure::running(format!("{}: {e}", path.display()));
        let rows = csv::Reader::from_path(&path)
            .map_err(at)?
            .into_deserialize::<ClientUse>();
        let uses: Vec<ClientUse> = rows.collect::<Result<_, _>>().map_err(at)?;
        let all = (i64::MIN, i64::MAX);
        let calendar = &opened.settings.calendar;
        let found = reconcile::with_clients(&store, calendar, opened.bounds(), all, &uses)
            .map_err(Failure::running)?;
        let mut rows = Rows::new(&[
            "period",
            "tenant",
            "class",
            "ledger",
            "client",
            "ledger_answered",
            "client_answered",
            "equal",
        ]);
        for ((period, tenant, class), pair) in &found.totals {
            let equal = pair.ledger == pair.client && pair.ledger_answered == pair.client_answered;
            rows.rows.push(vec![
                json!(period),
                json!(tenant),
                json!(class),
                json!(pair.ledger),
                json!(pair.client),
                json!(pair.ledger_answered),
                json!(pair.client_answered),
                json!(equal),
            ]);
        }
        rows.print(shape)?;
        if !found.differences.is_empty() {
            let mut rows = Rows::new(&["what", "tenant", "class", "at", "key", "ledger", "client"]);
            for it in &found.differences {
                let texts = [
                    it.what, &it.tenant, &it.class, &it.at, &it.key, &it.ledger, &it.client,
                ];
                rows.rows.push(texts.map(|text| json!(text)).to_vec());
            }
            rows.print(shape)?;
        }
        wrong += found.unequal() + found.differences.len();
    }
    let standings = store.standings().map_err(Failure::running)?;
    for counter in counters {
        let (name, file) = counter
            .split_once('=')
            .ok_or_else(|| Failure::usage(format!("'{counter}' is not NAME=FILE")))?;
        let text =
            std::fs::read_to_string(file).map_err(|e| Failure::running(format!("{file}: {e}")))?;
        let stats: Value =
            serde_json::from_str(&text).map_err(|e| Failure::running(format!("{file}: {e}")))?;
        let standing = standings.iter().find(|standing| standing.member == name);
        let incarnation = standing.map_or(0, |standing| standing.position.incarnation);
        let ours = store
            .recorded(name, incarnation)
            .map_err(Failure::running)?;
        let theirs: BTreeMap<String, u64> =
            serde_json::from_value(stats["recorded_of"].clone()).unwrap_or_default();
        let both: BTreeSet<&String> = ours.keys().chain(theirs.keys()).collect();
        for of in both
            .into_iter()
            .filter(|of| ours.get(*of) != theirs.get(*of))
        {
            wrong += 1;
            let [theirs, ours] =
                [&theirs, &ours].map(|side| side.get(of).copied().unwrap_or_default());
            let text = format!(
                "mixer {name}, {of}: it has recorded {theirs} in this run, the ledger holds {ours}\n"
            );
            output::print(text.as_bytes())?;
        }
    }
    if wrong > 0 {
        return Err(Failure::running(format!("{wrong} differences")));
    }
    Ok(())
}

fn verify(files: &Files, logs: &[PathBuf]) -> Done {
    let mut wrong = Vec::new();
    let (mut segments, mut entries, mut checked) = (0, 0, 0);
    for directory in logs {
        let at = |e: std::io::Error| Failure::running(format!("{}: {e}", directory.display()));
        let all = log::segments(directory).map_err(at)?;
        let bar = progress(all.len() as u64, "segments");
        for (i, segment) in all.iter().enumerate() {
            let bytes = std::fs::read(&segment.path).map_err(at)?;
            let name = segment.name();
            let start = match log::header(&bytes) {
                Some((_, start)) => start,
                None => {
                    wrong.push(format!("{name}: its header can't be read, at offset 0"));
                    log::MAGIC.len()
                }
            };
            let read = log::read(&bytes, start, usize::MAX);
            for item in &read.items {
                match item {
                    log::Item::Entry(_) => entries += 1,
                    log::Item::Damage(from, to) => {
                        wrong.push(format!("{name}: damaged from offset {from} to {to}"))
                    }
                }
            }
            // The last one may be in the middle of a write.
            if read.end < bytes.len() && i + 1 < all.len() {
                wrong.push(format!(
                    "{name}: half a record at its end, from offset {}",
                    read.end
                ));
            }
            segments += 1;
            bar.inc(1);
        }
        bar.finish_and_clear();
    }
    // Without a store named, logs are checked alone.
    let own = settings::read(files)?;
    let named = Settings::read(&own, &settings::SCHEMA)
        .map_err(Failure::configuration)?
        .store
        .is_some();
    if named || logs.is_empty() {
        let opened = open(files)?;
        let (count, found) = opened
            .existing()?
            .verify(opened.bounds())
            .map_err(Failure::running)?;
        checked = count;
        wrong.extend(found);
    }
    for line in &wrong {
        output::print(format!("{line}\n").as_bytes())?;
    }
    let text = format!(
        "{segments} segments, {entries} entries, {checked} statements, documents and periods checked\n"
    );
    output::print(text.as_bytes())?;
    match wrong.len() {
        0 => Ok(()),
        n => Err(Failure::running(format!("{n} things are wrong"))),
    }
}

const RECORD: [&str; 14] = [
    "arrived",
    "mixer",
    "incarnation",
    "sequence",
    "tenant",
    "class",
    "outcome",
    "share",
    "parts",
    "attempts",
    "crossed",
    "repeat",
    "keyed",
    "key",
];

/// One record in the order of [`RECORD`], wherever it stands: the share is that of a partial answer.
fn record_row(
    at: i64,
    whose: [Value; 5],
    outcome: &str,
    counts: [u32; 4],
    (repeat, keyed, key): (bool, bool, u64),
) -> Vec<Value> {
    let mut row = vec![json!(stamp(at))];
    row.extend(whose);
    row.push(json!(outcome));
    row.extend(counts.map(|count| json!(count)));
    row.extend([json!(repeat), json!(keyed), json!(format!("{key:016x}"))]);
    row
}

fn dump_store(opened: &Opened, shape: &Shape) -> Done {
    let store = opened.existing()?;
    let names = store.names().map_err(Failure::running)?;
    let name = |id: u32| json!(names.get(&id));
    let mut rows = Rows::new(&RECORD);
    for it in store.tries(i64::MIN, i64::MAX).map_err(Failure::running)? {
        let whose = [
            name(it.member),
            json!(it.incarnation),
            json!(it.sequence),
            name(it.tenant),
            name(it.class),
        ];
        let counts = [
            it.outcome.partial_share(),
            it.parts,
            it.attempts,
            it.crossed,
        ];
        rows.rows.push(record_row(
            it.at,
            whose,
            it.outcome.name(),
            counts,
            (it.repeat, it.keyed, it.key),
        ));
    }
    rows.print(shape)
}

fn dump_log(directory: &std::path::Path, shape: &Shape) -> Done {
    let at = |e: std::io::Error| Failure::running(format!("{}: {e}", directory.display()));
    let mut follower = log::Follower::new(directory, log::Position::default());
    let mut rows = Rows::new(&RECORD);
    while let Some(batch) = follower.next(4096).map_err(at)? {
        for damage in &batch.damage {
            eprintln!(
                "cottonhill: {}: damaged from offset {} to {}",
                damage.segment, damage.from, damage.to
            );
        }
        let header = batch.header.unwrap_or_default();
        for entry in batch.entries {
            let Some(wire::entry::What::Record(it)) = entry.what else {
                continue;
            };
            let outcome = it.outcome().as_str_name().to_lowercase();
            let class = header
                .classes
                .get(it.class as usize)
                .map(|class| class.name.as_str());
            let tenant = json!(header.tenants.get(it.tenant as usize));
            let whose = [
                json!(header.mixer),
                json!(header.incarnation),
                json!(it.sequence),
                tenant,
                json!(class),
            ];
            let counts = [it.share, it.parts, it.attempts, it.crossed];
            let row = record_row(
                it.arrived_ms as i64,
                whose,
                &outcome,
                counts,
                (it.repeat, it.keyed, it.key),
            );
            rows.rows.push(row);
        }
    }
    rows.print(shape)
}
