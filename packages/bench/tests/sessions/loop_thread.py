"""An event loop on a thread of its own."""

import asyncio
import threading

LIMIT_S = 60.0


class LoopThread:
    """Runs coroutines for code that blocks."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.resume()

    def submit(self, coroutine):
        """Start `coroutine`; return its concurrent future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def run(self, coroutine):
        """Run `coroutine` to its end and return its result."""
        return self.submit(coroutine).result(LIMIT_S)

    def pause(self):
        """Let nothing more run, as a killed process."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    def resume(self):
        """Run (again)."""
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def close(self):
        """Stop the loop."""
        self.pause()
        self.loop.close()
