"""Validated chat requests."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """A validated chat request.

    Attributes:
        workspace: Workspace that sends the request and is billed.
        request_id: Id of the request, unique within the workspace.
        has_idempotency_key: Whether the caller supplied the id as an idempotency key.
        body: JSON body sent to the engine.
        body_hash: Hash of the body, to detect a reused key.
        model: Name of the model.
        servers: Servers that may run the model.
        max_output_tokens: Maximum number of tokens in the answer.
        max_prompt_tokens: Upper bound of the prompt's tokens, computed from its bytes.
        prompt_prefix_hash: Hash of the prompt's first characters.
        priority: From 0 to 9; higher values are served first.
        deadline_seconds: Deadline, on the monotonic clock.
        resume_after: Id of the last event that the caller has from an earlier try; 0 for none.
    """

    workspace: str
    request_id: str
    has_idempotency_key: bool
    body: dict[str, Any]
    body_hash: str
    model: str
    servers: list[str]
    max_output_tokens: int
    max_prompt_tokens: int
    prompt_prefix_hash: str
    priority: int
    deadline_seconds: float
    resume_after: int = 0

    @property
    def key(self) -> tuple[str, str]:
        """Workspace and request id, unique across workspaces."""
        return (self.workspace, self.request_id)

    @property
    def run_id(self) -> str:
        """Id of the run at an engine; equal on all routers, so that any of them can resume it."""
        return f"{self.workspace}/{self.request_id}/{self.body_hash[:12]}"
