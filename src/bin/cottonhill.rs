//! One real mixer on sockets.

fn main() -> std::process::ExitCode {
    cottonhill::program::run()
}
