"""A child process of the soak."""

import signal
import subprocess
import threading


class Process:
    """A child process that is signalled by its process id only."""

    def __init__(self, journal, name, arguments, log):
        self.journal = journal
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log = log
        self.child = None
        self.is_paused = False
        self.lock = threading.RLock()

    def start(self):
        with self.lock:
            self.child = subprocess.Popen(self.arguments, stdout=open(self.log, "ab"),
                                          stderr=subprocess.STDOUT)
            self.is_paused = False
            self.journal.record("started", process=self.name)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, signal_number):
        with self.lock:
            if self.is_running():
                self.journal.record("signal", process=self.name, signal=signal_number.name)
                self.child.send_signal(signal_number)

    def pause(self):
        with self.lock:
            self.is_paused = True
            self.send_signal(signal.SIGSTOP)

    def resume(self):
        with self.lock:
            if self.is_paused:
                self.is_paused = False
                self.send_signal(signal.SIGCONT)

    def kill(self):
        with self.lock:
            self.send_signal(signal.SIGKILL)
            if self.child is not None:
                self.child.wait()
