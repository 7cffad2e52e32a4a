"""The attempt at a silent server, set aside while the request is tried at another one."""

import dataclasses

from ..estimates.observation import SendObserver
from ..forward.request_progress import RequestProgress
from ..forward.watched_run import WatchedRun
from ..places.held_places import HeldPlace
from ..ports.server_registry import RegisteredServer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptAttempt:
    """What a request's progress says of the attempt at a silent server, while another is tried."""

    sent_to: RegisteredServer
    place: HeldPlace | None
    run: WatchedRun | None
    observer: SendObserver
    choice_reason: str
    is_rest: bool
    log_index: int

    def restore(self, progress: RequestProgress) -> None:
        """Makes the attempt the current one again; the log shows that it goes on."""
        progress.sent_to = self.sent_to
        progress.place = self.place
        progress.run = self.run
        progress.observer = self.observer
        progress.choice_reason = self.choice_reason
        progress.splitter.is_rest = self.is_rest
        if len(progress.attempt_log) > self.log_index + 1:
            progress.attempt_log.append(self.sent_to.server_id)


def keep_attempt(progress: RequestProgress) -> KeptAttempt:
    """Takes the current attempt out of a request's progress, so that another one can begin."""
    kept = KeptAttempt(
        sent_to=progress.sent_to,
        place=progress.place,
        run=progress.run,
        observer=progress.observer,
        choice_reason=progress.choice_reason,
        is_rest=progress.splitter.is_rest,
        log_index=len(progress.attempt_log) - 1,
    )
    progress.place = None
    return kept
