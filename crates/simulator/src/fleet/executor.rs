//! Runs the tasks of all simulated processes, one at a time, in the order of the event queue.
use super::simulation::{CLOCK_RATE_UNIT, Event, ProcessId, Simulation, SimulationState, Task};
use quincehatch_core::Millis;
use quincehatch_runtime::seam::BoxFuture;
use std::sync::{Arc, Weak};
use std::task::{Context, Wake, Waker};

/// A task whose future is removed from the task table for a poll.
struct PolledTask {
    id: u64,
    process: ProcessId,
    future: BoxFuture<'static, ()>,
}

impl Simulation {
    /// Adds a task to an incarnation of a process, unless that incarnation has ended.
    pub fn spawn(self: &Arc<Self>, pid: ProcessId, incarnation: u64, future: BoxFuture<'static, ()>) {
        let mut state = self.lock();
        if !state.processes[pid].is_up || state.processes[pid].incarnation != incarnation {
            state.dead_tasks.push((pid, future));
            return;
        }
        state.next_sequence += 1;
        let id = state.next_sequence;
        state.tasks.insert(id, Task { process: pid, incarnation, future: Some(future), queued: true });
        state.ready_tasks.push_back(id);
    }

    /// Sets a timer for a local time of the process; returns its id.
    pub fn wake_at(&self, pid: ProcessId, at: Millis, waker: Waker) -> u64 {
        let mut state = self.lock();
        let process = &state.processes[pid];
        let elapsed = at.saturating_sub(process.clock_offset) * CLOCK_RATE_UNIT;
        let when = elapsed.div_ceil(process.clock_rate).max(state.now + 1);
        let timer = state.schedule(when, Event::Wake(waker));
        state.timers.insert(timer, when);
        timer
    }

    /// Cancels a timer, unless it has expired.
    pub fn cancel_timer(&self, timer: u64) {
        let mut state = self.lock();
        let cancelled = state.timers.remove(&timer).and_then(|at| state.events.remove(&(at, timer)));
        drop(state);
        // The waker may hold the last reference to its task, whose drop takes the lock.
        drop(cancelled);
    }

    /// Runs all events and ready tasks up to and including `end`.
    pub fn run_until(self: &Arc<Self>, end: Millis) {
        loop {
            while self.poll_next_task() {}
            let Some(event) = self.take_event_until(end) else { return };
            self.handle(event);
        }
    }

    /// Takes the next event and advances the time to it; if there is none up to `end`, advances the time to `end`.
    fn take_event_until(&self, end: Millis) -> Option<Event> {
        let mut state = self.lock();
        let next = state.events.first_key_value().map(|(key, _)| *key).filter(|(at, _)| *at <= end);
        let Some((at, sequence)) = next else {
            state.now = end;
            return None;
        };
        state.now = at;
        state.timers.remove(&sequence);
        state.events.remove(&(at, sequence))
    }

    fn handle(self: &Arc<Self>, event: Event) {
        match event {
            Event::Wake(waker) => waker.wake(),
            Event::Resume(pid) => self.lock().resume(pid),
            Event::Message(envelope) => self.deliver(envelope),
            Event::Run(action) => action(self),
        }
    }

    /// Polls the first ready task; returns false if there is none.
    fn poll_next_task(self: &Arc<Self>) -> bool {
        self.drop_dead_tasks();
        if self.lock().ready_tasks.is_empty() {
            return false;
        }
        let Some(PolledTask { id, process, mut future }) = self.lock().take_ready_task() else { return true };
        let waker = Waker::from(Arc::new(TaskWaker { id, simulation: Arc::downgrade(self) }));
        let mut context = Context::from_waker(&waker);
        let done = self.run_in(process, || future.as_mut().poll(&mut context).is_ready());
        let mut state = self.lock();
        let alive = state.tasks.contains_key(&id);
        if done || !alive {
            state.tasks.remove(&id);
            state.dead_tasks.push((process, future));
        } else if let Some(task) = state.tasks.get_mut(&id) {
            task.future = Some(future);
        }
        true
    }

    /// Drops values that could not be dropped under the lock. Futures are dropped in the context of their process, as
    /// their drop may run its code.
    fn drop_dead_tasks(self: &Arc<Self>) {
        let deferred = std::mem::take(&mut self.lock().deferred_drops);
        drop(deferred);
        let dead = std::mem::take(&mut self.lock().dead_tasks);
        for (pid, future) in dead {
            self.run_in(pid, || drop(future));
        }
    }

    /// Ends the run and releases all references to the simulation.
    pub fn shut_down(self: &Arc<Self>) {
        let released = {
            let mut state = self.lock();
            for pid in 0..state.processes.len() {
                state.kill_tasks(pid);
                state.processes[pid].is_up = false;
            }
            (std::mem::take(&mut state.events), state.network.take())
        };
        drop(released);
        while self.poll_next_task() {}
        let processes = std::mem::take(&mut self.lock().processes);
        drop(processes);
    }
}

impl SimulationState {
    /// Takes the first ready task, unless it has ended or its process is suspended.
    fn take_ready_task(&mut self) -> Option<PolledTask> {
        let id = self.ready_tasks.pop_front()?;
        let process = self.tasks.get(&id)?.process;
        if self.processes[process].paused_until > self.now {
            self.processes[process].suspended_tasks.push(id);
            return None;
        }
        let task = self.tasks.get_mut(&id)?;
        task.queued = false;
        let future = task.future.take()?;
        self.extend_trace(id, process as u64);
        Some(PolledTask { id, process, future })
    }

    /// Queues the tasks of a process whose suspension is over.
    fn resume(&mut self, pid: ProcessId) {
        if self.processes[pid].paused_until <= self.now {
            let suspended = std::mem::take(&mut self.processes[pid].suspended_tasks);
            self.ready_tasks.extend(suspended);
        }
    }

    /// Removes all tasks of the present incarnation of a process.
    pub(super) fn kill_tasks(&mut self, pid: ProcessId) {
        let incarnation = self.processes[pid].incarnation;
        let of_process = |task: &Task| task.process == pid && task.incarnation == incarnation;
        let killed: Vec<u64> =
            self.tasks.iter().filter(|(_, task)| of_process(task)).map(|(id, _)| *id).collect();
        for id in killed {
            let future = self.tasks.remove(&id).and_then(|task| task.future);
            self.dead_tasks.extend(future.map(|future| (pid, future)));
        }
        self.processes[pid].suspended_tasks.clear();
    }
}

/// The waker of a task, by the task's id.
struct TaskWaker {
    id: u64,
    simulation: Weak<Simulation>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        let Some(simulation) = self.simulation.upgrade() else { return };
        let mut state = simulation.lock();
        if let Some(task) = state.tasks.get_mut(&self.id).filter(|task| !task.queued) {
            task.queued = true;
            state.ready_tasks.push_back(self.id);
        }
    }
}
