//! Runs the decision module on the simulator's wire: batches come in on standard input, replies go out on
//! standard output. It only translates; every decision is in `cottonhill_decisions`.

mod wire;

use cottonhill_decisions::Coordinator;
use cottonhill_mixer::settings;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Batch, Input, Reply, Roster};

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run(
        &mut BufReader::new(io::stdin().lock()),
        &mut BufWriter::new(io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cottonhill-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u16, Coordinator> = BTreeMap::new();
    let mut rosters: BTreeMap<u32, Roster> = BTreeMap::new();
    while let Some(batch) = Batch::read(input)? {
        let reply = play(&batch, &mut instances, &mut rosters)?;
        output
            .write_all(&reply.bytes(batch.number))
            .and_then(|()| output.flush())
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Hands each instance its events of one batch, in order, and gathers the actions.
fn play(
    batch: &Batch,
    instances: &mut BTreeMap<u16, Coordinator>,
    rosters: &mut BTreeMap<u32, Roster>,
) -> Result<Reply, String> {
    let mut pending = BTreeMap::new();
    let mut order = Vec::new();
    let mut seen = BTreeSet::new();
    for (who, input) in wire::inputs(batch, rosters)? {
        match input {
            Input::Start { seed, settings } => {
                instances.insert(
                    who,
                    Coordinator::new(
                        settings::parse_decisions(&settings).map_err(|e| e.to_string())?,
                        seed,
                    ),
                );
                pending.insert(who, Vec::new());
            }
            Input::Stop => {
                instances.remove(&who);
                pending.remove(&who);
            }
            Input::Event(event) => pending.entry(who).or_insert_with(Vec::new).push(event),
        }
        if seen.insert(who) {
            order.push(who);
        }
    }
    let mut reply = Reply::default();
    for who in order {
        let (Some(instance), Some(events)) = (instances.get_mut(&who), pending.get(&who)) else {
            continue;
        };
        let mut actions = Vec::new();
        let done = catch_unwind(AssertUnwindSafe(|| {
            instance.process_batch(batch.clock, events, &mut actions)
        }));
        match done {
            Ok(()) => actions
                .iter()
                .for_each(|action| wire::write_action(&mut reply, who, action)),
            Err(cause) => {
                let text = cause.downcast_ref::<String>().cloned();
                let text = text.or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string()));
                reply.crash(
                    who,
                    &text.unwrap_or_else(|| "the decision module broke".into()),
                );
            }
        }
    }
    Ok(reply)
}
