//! Runs the tasks of all simulated processes in one order (§9.1).
use super::simulation::{Event, ProcessId, Simulation, SimulationState, Task};
use quincehatch_core::Millis;
use quincehatch_runtime::seam::BoxFuture;
use std::sync::{Arc, Weak};
use std::task::{Context, Wake, Waker};

impl Simulation {
    pub fn spawn(self: &Arc<Self>, host: ProcessId, life: u64, f: BoxFuture<'static, ()>) {
        let mut m = self.lock();
        if !m.processes[host].up || m.processes[host].incarnation != life {
            m.dead_tasks.push((host, f));
            return;
        }
        m.next_sequence += 1;
        let id = m.next_sequence;
        m.tasks.insert(id, Task { process: host, incarnation: life, future: Some(f), queued: true });
        m.ready_tasks.push_back(id);
    }
    pub fn wake_at(&self, pid: ProcessId, at: Millis, w: Waker) -> u64 {
        let mut m = self.lock();
        let (base, rate) = (m.processes[pid].clock_offset, m.processes[pid].clock_rate);
        let when = (at.saturating_sub(base) * 100_000).div_ceil(rate).max(m.now + 1);
        let id = m.schedule(when, Event::Wake(w));
        m.timers.insert(id, when);
        id
    }
    pub fn cancel(&self, timer: u64) {
        let mut m = self.lock();
        let gone = m.timers.remove(&timer).and_then(|at| m.events.remove(&(at, timer)));
        drop(m);
        drop(gone);
    }

    /// Runs until that time, and leaves no task that could go on before it.
    pub fn run_until(self: &Arc<Self>, end: Millis) {
        loop {
            while self.poll_next_task() {}
            let ev = {
                let mut m = self.lock();
                let Some((&(at, n), _)) = m.events.first_key_value().filter(|(k, _)| k.0 <= end) else {
                    m.now = end;
                    return;
                };
                m.now = at;
                m.timers.remove(&n);
                m.events.remove(&(at, n))
            };
            match ev {
                Some(Event::Wake(w)) => w.wake(),
                Some(Event::Resume(p)) => {
                    let mut m = self.lock();
                    if m.processes[p].paused_until <= m.now {
                        let parked = std::mem::take(&mut m.processes[p].suspended_tasks);
                        m.ready_tasks.extend(parked);
                    }
                }
                Some(Event::Message { from, to, sent, n }) => self.deliver(from, to, sent, n),
                Some(Event::Run(f)) => f(self),
                None => {}
            }
        }
    }

    fn poll_next_task(self: &Arc<Self>) -> bool {
        let trash = std::mem::take(&mut self.lock().deferred_drops);
        drop(trash);
        let graves = std::mem::take(&mut self.lock().dead_tasks);
        for (pid, f) in graves {
            self.run_in(pid, || drop(f));
        }
        let (id, host, mut fut) = {
            let mut m = self.lock();
            let Some(id) = m.ready_tasks.pop_front() else { return false };
            let now = m.now;
            let Some(host) = m.tasks.get(&id).map(|t| t.process) else { return true };
            if m.processes[host].paused_until > now {
                m.processes[host].suspended_tasks.push(id);
                return true;
            }
            let Some(t) = m.tasks.get_mut(&id) else { return true };
            t.queued = false;
            let Some(fut) = t.future.take() else { return true };
            m.extend_trace(id, host as u64);
            (id, host, fut)
        };
        let waker = Waker::from(Arc::new(TaskWaker { id, core: Arc::downgrade(self) }));
        let done = self.run_in(host, || fut.as_mut().poll(&mut Context::from_waker(&waker)).is_ready());
        let mut m = self.lock();
        let alive = m.tasks.contains_key(&id);
        if done || !alive {
            m.tasks.remove(&id);
            m.dead_tasks.push((host, fut));
        } else if let Some(t) = m.tasks.get_mut(&id) {
            t.future = Some(fut);
        }
        true
    }

    /// All tasks of a process are gone, in the midst of whatever they did.
    pub(super) fn kill_tasks(&self, m: &mut SimulationState, pid: ProcessId) {
        let life = m.processes[pid].incarnation;
        let gone: Vec<u64> = m
            .tasks
            .iter()
            .filter(|(_, t)| t.process == pid && t.incarnation == life)
            .map(|(i, _)| *i)
            .collect();
        for id in gone {
            let fut = m.tasks.remove(&id).and_then(|t| t.future);
            m.dead_tasks.extend(fut.map(|f| (pid, f)));
        }
        m.processes[pid].suspended_tasks.clear();
    }

    /// Ends the run: whatever holds on to the world is let go.
    pub fn shut_down(self: &Arc<Self>) {
        let q = {
            let mut m = self.lock();
            for p in 0..m.processes.len() {
                self.kill_tasks(&mut m, p);
                m.processes[p].up = false;
            }
            (std::mem::take(&mut m.events), m.network.take())
        };
        drop(q);
        while self.poll_next_task() {}
        let hosts = std::mem::take(&mut self.lock().processes);
        drop(hosts);
    }
}

struct TaskWaker {
    id: u64,
    core: Weak<Simulation>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        let Some(core) = self.core.upgrade() else { return };
        let mut m = core.lock();
        if let Some(t) = m.tasks.get_mut(&self.id).filter(|t| !t.queued) {
            t.queued = true;
            m.ready_tasks.push_back(self.id);
        }
    }
}
