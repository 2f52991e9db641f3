"""Passes callers' requests to the handlers that answer them."""

from collections.abc import Callable

from hornbeamglade.callers import application
from hornbeamglade.core import outcomes
from hornbeamglade.node import generationhandler, pages, plainhandler, runtime

BODY_BYTES_WITHOUT_CONFIGURATION = 1_048_576
NO_TEAM = ""


class NodeHandlers(application.Handlers):
    """The handlers of one entry node.

    :param parts: the node's components.
    :param own_pages: answers the node's own pages.
    :param failed: called with an error that no handler expected.
    """

    def __init__(
        self,
        parts: runtime.Runtime,
        own_pages: pages.Pages,
        failed: Callable[[Exception, str], None],
    ) -> None:
        self._parts = parts
        self._pages = own_pages
        self._failed = failed
        self._generations = generationhandler.GenerationHandler(parts)
        self._plain = plainhandler.PlainHandler(parts)

    def max_body_bytes(self) -> int:
        """Return the maximum body size that any service accepts."""
        view = self._parts.views.current()
        if isinstance(view, outcomes.Refusal):
            return BODY_BYTES_WITHOUT_CONFIGURATION
        return view.max_body_bytes()

    def generate(self, request: application.CallerRequest) -> application.Answer:
        """Answer a generation request."""
        return self._generations.handle(request)

    def plain(
        self, service: str, path: str, request: application.CallerRequest
    ) -> application.Answer:
        """Forward a call to a plain service."""
        return self._plain.handle(service, path, request)

    def page(self, name: str, request: application.CallerRequest) -> application.Answer:
        """Answer one of the node's own pages."""
        return self._pages.answer(name, request)

    def refused(self, refusal: outcomes.Refusal, authorization: str | None) -> None:
        """Count a refusal by its code and the caller's team."""
        view = self._parts.views.current()
        team = NO_TEAM
        if not isinstance(view, outcomes.Refusal):
            team = view.directory.identify(authorization)
        name = team if isinstance(team, str) else NO_TEAM
        self._parts.metrics.refusals.add(labels=(refusal.code, name))

    def failed(self, error: Exception, request_id: str) -> None:
        """Report an error that no handler expected."""
        self._failed(error, request_id)
