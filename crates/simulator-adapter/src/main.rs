//! `cottonhill-benchlink`: the adapter on standard input and standard output. The simulator starts this program.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // The session reports panics of the decision module to the simulator, so no panic message is printed on standard
    // error. Panics outside the decision module are silent, too.
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
