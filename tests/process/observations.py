"""What callers, trainers, stand-ins and operators observed during a soak run; the checker's only input.

Records are plain dicts, so that a run can be saved, edited and checked again.
Times are wall-clock seconds, which can be compared because all programs run on one machine.
"""

import dataclasses


@dataclasses.dataclass
class Bounds:
    """The limits that the deployment under test guarantees, in seconds and weight versions."""

    staleness: int = 2
    withdrawal_s: float = 3.0
    configuration_s: float = 4.0
    configuration_disturbed_s: float = 9.0  # while a fault affects the key-value service or a daemon
    leaving_s: float = 3.0
    stop_s: float = 12.0
    usage_loss_s: float = 5.0  # two flush intervals of 2 s plus the duration of one request


@dataclasses.dataclass
class Observations:
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    # From callers: {marker, account, permitted, kind, method, idempotent, entry, key_id, began, ended, status,
    # outcome: ok|refused|broken|unreachable|cancelled|failed, not_run, reason, prompt, text, most_tokens, sent, echo}
    requests: list = dataclasses.field(default_factory=list)
    # From the trainer: {run, cursor, began, ended, repeat, generation, samples}; {run, step, groups, group_size}; {version, began, ended}
    batches: list = dataclasses.field(default_factory=list)
    supplied: list = dataclasses.field(default_factory=list)  # groups: {group: prompt}
    versions: list = dataclasses.field(default_factory=list)
    # From stand-ins, as /control/log and /control/usage return them.
    engines: list = dataclasses.field(default_factory=list)
    services: list = dataclasses.field(default_factory=list)
    orders: list = dataclasses.field(default_factory=list)  # orders that the platform received
    usage: dict = dataclasses.field(default_factory=lambda: {"reports": [], "windows": []})
    # From the operator: {key_id, account, accepted}; {label, value, began, accepted, revision}; {entry, label, value, revision, began, ended, answered}
    withdrawals: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    readings: list = dataclasses.field(default_factory=list)
    # From the fault schedule: {target, began, ended}; {entry, began, ended, exit}; {entry, at}; {names, began, ended}
    leaving: list = dataclasses.field(default_factory=list)
    stops: list = dataclasses.field(default_factory=list)
    kills: list = dataclasses.field(default_factory=list)
    faults: list = dataclasses.field(default_factory=list)
    keys: list = dataclasses.field(default_factory=list)  # raw keys granted to accounts

    def attempts(self):
        """(target, attempt) pairs of all engines."""
        return [(engine["target"], attempt) for engine in self.engines for attempt in engine["attempts"]]

    def calls(self):
        """(target, call) pairs of all services."""
        return [(service["service"], call) for service in self.services for call in service["calls"]]
