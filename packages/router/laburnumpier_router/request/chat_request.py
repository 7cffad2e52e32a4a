"""A chat request as the routers handle it."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """A checked chat request.

    Attributes:
        workspace: Who asks and pays.
        request_id: Identity within the workspace.
        key_supplied: Whether the caller chose the identity and may retry with it.
        body: The JSON body, passed on to the engine.
        body_hash: Digest of the body.
        model: Model that is asked.
        servers: Servers that may run the model.
        max_output_tokens: Most tokens of the answer.
        prompt_bound_tokens: Upper bound of the prompt's tokens, from its bytes.
        prefix: Hash of the prompt's first part.
        priority: Higher goes first, from 0 to 9.
        deadline_seconds: Monotonic time by which the answer is of use.
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

    @property
    def key(self) -> tuple[str, str]:
        """Identity across workspaces."""
        return (self.workspace, self.request_id)

    @property
    def run_id(self) -> str:
        """Identity of the run at an engine, the same on every router so that it can be resumed."""
        return f"{self.workspace}/{self.request_id}/{self.body_hash[:12]}"
