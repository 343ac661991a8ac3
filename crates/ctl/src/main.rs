//! quincehatchctl: the operators' command line over the whole fleet (§8.2).
mod args;
mod call;
mod show;

fn main() {
    let a = match args::read() {
        Ok(Some(a)) => a,
        Ok(None) => return,
        Err(e) => {
            eprintln!("quincehatchctl: {e}\ntry `quincehatchctl --help`");
            std::process::exit(2);
        }
    };
    match call::ask(&a) {
        Ok(v) => {
            if a.json {
                println!("{v:#}");
            } else {
                print!("{}", show::table(&a.cmd, &v));
            }
        }
        Err(b) => {
            if a.json {
                println!("{:#}", serde_json::json!({"error": {"code": b.code, "text": b.text.as_str()}}));
            }
            eprintln!("quincehatchctl: {b}");
            std::process::exit(i32::from(b.code / 100));
        }
    }
}
