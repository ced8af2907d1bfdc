"""An event loop in which waiting takes no time."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on a clock of its own; also a `Clock` for the code under test.

    Only for code without sockets and threads, which would need real time.
    """

    def __init__(self):
        self.jumping_selector = _JumpingSelector()
        super().__init__(self.jumping_selector)

    def time(self):
        return self.jumping_selector.now_s

    def monotonic(self):
        return self.time()
