//! The adapter program under test.

use super::{number, Reply, ACTION_RECORD};
use std::io::{Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const REPLY_HEADER: usize = 12;

pub struct Adapter {
    child: Child,
    input: ChildStdin,
    output: ChildStdout,
}

impl Adapter {
    pub fn start() -> Adapter {
        let program = std::env::var_os("GOLDEN_PROGRAM")
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_cottonhill-benchlink").into());
        let mut child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("standard input");
        let output = child.stdout.take().expect("standard output");
        Adapter {
            child,
            input,
            output,
        }
    }

    /// Sends one batch and waits for its reply.
    pub fn exchange(&mut self, batch: &[u8]) -> Reply {
        self.input.write_all(batch).expect("the batch is read");
        self.input.flush().expect("the batch is read");
        let mut header = [0; REPLY_HEADER];
        self.output.read_exact(&mut header).expect("a reply header");
        let count = number(&header[4..8]) as usize;
        let mut body = vec![0; number(&header[8..12]) as usize];
        self.output.read_exact(&mut body).expect("a reply body");
        let tail = body.split_off(count * ACTION_RECORD);
        Reply {
            number: number(&header[..4]) as u32,
            records: body.chunks(ACTION_RECORD).map(<[u8]>::to_vec).collect(),
            tail,
        }
    }

    /// Closes the input; the program must then end with success and write nothing more.
    pub fn finish(mut self) {
        drop(self.input);
        let mut remaining = Vec::new();
        self.output
            .read_to_end(&mut remaining)
            .expect("the program ends");
        assert!(remaining.is_empty());
        assert!(self.child.wait().expect("the program ends").success());
    }
}
