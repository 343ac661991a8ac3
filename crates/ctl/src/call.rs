//! One call to a node's desk.
use crate::args::Args;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_wire::http::{JsonRequest, call_once};
use serde_json::Value;
use std::time::Duration;

pub fn ask(a: &Args) -> Result<Value, Error> {
    let gone = |e: std::io::Error| ErrorCode::Unreachable.with_detail(format_args!("{}: {e}", a.node));
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(gone)?;
    let path = format!("/op/{}", a.cmd);
    let call = JsonRequest { method: "POST", path: &path, body: &a.body, token: Some(&a.token) };
    let (st, v) = rt.block_on(call_once(&a.node, &call, Duration::from_secs(20))).map_err(gone)?;
    if st == 200 {
        return Ok(v);
    }
    let code = v["error"]["code"].as_u64().unwrap_or(0) as u16;
    let text = v["error"]["text"].as_str().unwrap_or("the node gave no reason").into();
    let bare = ErrorCode::from_number(code).unwrap_or(ErrorCode::Unreachable).without_detail();
    Err(Error { code, text, ..bare })
}
