"""What callers, trainers, stand-ins and operators saw during a run.

Records are plain dicts, so that a run can be saved, edited and checked again.
Times are wall-clock seconds; all programs run on one machine.
"""

import dataclasses


@dataclasses.dataclass
class Bounds:
    """What the deployment under test promises, in seconds and versions."""

    staleness: int = 2
    withdrawal_s: float = 3.0
    configuration_s: float = 4.0
    configuration_disturbed_s: float = 9.0  # with the key-value service or daemons disturbed
    leaving_s: float = 3.0
    stop_s: float = 12.0
    usage_loss_s: float = 5.0  # two flush intervals of 2 s, and one request's time


@dataclasses.dataclass
class Observations:
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    # Callers: {marker, account, permitted, kind, method, idempotent, entry, key_id, began, ended, status,
    # outcome: ok|refused|broken|unreachable|cancelled|failed, not_run, reason, prompt, text, most_tokens, sent, echo}
    requests: list = dataclasses.field(default_factory=list)
    # The trainer: {run, cursor, began, ended, generation, samples}; {step, began, ended}; {version, began, ended}
    batches: list = dataclasses.field(default_factory=list)
    supplied: list = dataclasses.field(default_factory=list)  # {step, groups: {group: prompt}, group_size}
    versions: list = dataclasses.field(default_factory=list)
    # Stand-ins: as /control/log and /control/usage give them.
    engines: list = dataclasses.field(default_factory=list)
    services: list = dataclasses.field(default_factory=list)
    orders: list = dataclasses.field(default_factory=list)  # at the platform
    usage: dict = dataclasses.field(default_factory=lambda: {"reports": [], "windows": []})
    # The operator: {key_id, account, accepted}; {object, label, value, began, accepted}; {entry, label, value, began, ended}
    withdrawals: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    readings: list = dataclasses.field(default_factory=list)
    # What the schedule did: {target, began, ended}; {entry, began, ended, exit}; {entry, at}; {began, ended, name}
    leaving: list = dataclasses.field(default_factory=list)
    stops: list = dataclasses.field(default_factory=list)
    kills: list = dataclasses.field(default_factory=list)
    faults: list = dataclasses.field(default_factory=list)
    keys: list = dataclasses.field(default_factory=list)  # raw keys handed to callers

    def attempts(self):
        """(target, attempt) of all engines."""
        return [(engine["target"], attempt) for engine in self.engines for attempt in engine["attempts"]]

    def calls(self):
        """(target, call) of all plain services."""
        return [(service["service"], call) for service in self.services for call in service["calls"]]
