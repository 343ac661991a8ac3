//! The platform in the simulator (§3.4).
use super::server::{SrvCall, SrvRep};
use super::world::{Msg, Pid, World};
use qh_core::{Name, Stamp};
use std::collections::BTreeMap;

/// The platform: promotions under a rising fence, one server a fence.
#[derive(Default)]
pub struct Platform {
    fences: BTreeMap<Name, (u64, Name, Name)>,
    open: BTreeMap<u64, (Pid, u64)>,
    rid: u64,
}

impl Platform {
    pub fn take(&mut self, w: &mut World, me: Pid, from: Pid, m: Msg) {
        match m {
            Msg::Promote { rid, group, server, fence, node } => {
                let had = self.fences.get(&group).cloned().unwrap_or_default();
                let new = (fence, node, server.clone());
                if fence < had.0 || (fence == had.0 && had != new) {
                    let e = SrvRep {
                        stamp: Stamp::default(),
                        rows: None,
                        error: Some("fence-low"),
                        outcome: None,
                        beat: None,
                    };
                    return w.send(me, from, Msg::Reply(rid, e));
                }
                self.fences.insert(group, new);
                self.rid += 1;
                self.open.insert(self.rid, (from, rid));
                let mine = self.rid;
                w.send_name(me, &server, Msg::Call(mine, SrvCall::Promote(fence)));
            }
            Msg::Reply(r, rep) => {
                if let Some((to, rid)) = self.open.remove(&r) {
                    w.send(me, to, Msg::Reply(rid, rep));
                }
            }
            Msg::Broke(r) => {
                if let Some((to, rid)) = self.open.remove(&r) {
                    w.send(me, to, Msg::Broke(rid));
                }
            }
            _ => {}
        }
    }
}
