"""The record of a run: what was sent, answered and run."""
import time


class Record:
    """Lines with the time since the start in seconds, written to a file as they come."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, *words):
        """Adds a line; returns its time."""
        at = self.now()
        print(f"{at:9.3f}", *words, file=self.file, flush=True)
        return at

    def close(self):
        self.file.close()
