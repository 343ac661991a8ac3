//! `quincehatchctl`: the command-line client of the operator API.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

mod arguments;
mod client;
mod command;
mod flags;
mod tables;

use arguments::{Arguments, Invocation, OutputFormat};
use command::Command;
use quincehatch_core::Error;
use quincehatch_operator_api::{ErrorDetail, ErrorReply, OperatorCall};
use std::process::exit;
use tables::Table;

/// Exit status for an invalid command line.
const EXIT_USAGE: i32 = 2;
/// The exit status of a failed call is its result code divided by this number.
const CODES_PER_EXIT_STATUS: u16 = 100;

fn main() {
    let arguments = match arguments::read() {
        Ok(Invocation::Run(arguments)) => arguments,
        Ok(Invocation::Completed) => return,
        Err(error) => {
            eprintln!("quincehatchctl: {error}\ntry `quincehatchctl --help`");
            exit(EXIT_USAGE);
        }
    };
    if let Err(error) = run(&arguments) {
        report_error(&error, arguments.output);
        exit(i32::from(error.code / CODES_PER_EXIT_STATUS));
    }
}

fn run(arguments: &Arguments) -> Result<(), Error> {
    match &arguments.command {
        Command::Status(request) => send(arguments, request),
        Command::Nodes(request) => send(arguments, request),
        Command::Servers(request) => send(arguments, request),
        Command::Placements(request) => send(arguments, request),
        Command::Push(request) => send(arguments, request),
        Command::History(request) => send(arguments, request),
        Command::Rollback(request) => send(arguments, request),
        Command::Explain(request) => send(arguments, request),
        Command::Promote(request) => send(arguments, request),
        Command::Drain(request) => send(arguments, request),
        Command::Members(request) => send(arguments, request),
        Command::Tenants(request) => send(arguments, request),
    }
}

/// Sends one request and prints its reply. JSON is printed as the node sent it, including fields that this program does
/// not know.
fn send<Request>(arguments: &Arguments, request: &Request) -> Result<(), Error>
where
    Request: OperatorCall,
    Request::Reply: Table,
{
    let reply = client::call(&arguments.endpoint, request)?;
    match arguments.output {
        OutputFormat::Json => println!("{reply:#}"),
        OutputFormat::Table => print!("{}", client::typed_reply::<Request>(reply)?.to_table()),
    }
    Ok(())
}

fn report_error(error: &Error, output: OutputFormat) {
    if output == OutputFormat::Json {
        let detail = ErrorDetail { code: error.code, text: error.text.to_string() };
        let body = serde_json::json!(ErrorReply { error: detail });
        println!("{body:#}");
    }
    eprintln!("quincehatchctl: {error}");
}
