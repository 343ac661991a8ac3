//! What a simulated server does as time passes: answers commits, pulls, beats (§3.2, §3.3).
use super::server::ServerProc;
use super::world::{Msg, Pid, World};
use crate::db::Pull;
use qh_core::Ms;

impl ServerProc {
    /// Answers those whose record is on a second server, or who will never know here.
    pub(super) fn settle(&mut self, w: &mut World, me: Pid, now: Ms) {
        for x in std::mem::take(&mut self.waits) {
            let still = self.db.leads(x.fence) && self.db.still(x.n, x.fence);
            let done = self.db.commit >= x.n && still;
            if !done && still && now < x.until {
                self.waits.push(x);
                continue;
            }
            let o = self.db.outcome(&x.key);
            let r = match (done, x.outcome) {
                (true, true) => self.outcome(o),
                (true, false) => self.told(&x.sum, o),
                (false, _) => self.no("in-doubt"),
            };
            w.send(me, x.to, Msg::Reply(x.rid, r));
        }
    }

    pub fn tick(&mut self, w: &mut World, me: Pid, now: Ms) {
        self.settle(w, me, now);
        if self.db.role == qh_core::Role::Replica
            && !self.peers.is_empty()
            && (now >= self.asked + 60 || self.answered)
        {
            if !self.answered && self.asked != 0 {
                self.at += 1;
            }
            self.answered = false;
            self.asked = now;
            let p = Pull { server: self.db.name.clone(), fence: self.db.fence, have: self.db.end() };
            let to = self.peers[self.at % self.peers.len()].clone();
            w.send_name(me, &to, Msg::Pull(p));
        }
        if now >= self.next_beat {
            self.next_beat = now + 500;
            let b = self.beat();
            let nodes = w.client.nodes.clone();
            for _ in 0..2 {
                if let Some(n) = w.rng.pick(&nodes).copied() {
                    w.send(me, n, Msg::Beat(b.clone()));
                }
            }
        }
    }
}
