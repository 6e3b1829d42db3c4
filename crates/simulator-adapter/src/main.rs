//! `cottonhill-benchlink`: the adapter between standard input and standard output, as the simulator starts it.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported on the wire, not on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    match cottonhill_simulator_adapter::answer_batches(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cottonhill-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
