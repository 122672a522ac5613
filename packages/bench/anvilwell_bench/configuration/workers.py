"""Worker processes, each with a group of daemons."""

import asyncio
import multiprocessing
import typing

_START = multiprocessing.get_context("spawn")
_STOP_S = 20.0
_ANSWER_S = 90.0


class Order(typing.NamedTuple):
    """Calls a method of the worker's group."""

    method: str
    arguments: tuple = ()


class Failure(typing.NamedTuple):
    """What a method raised."""

    message: str


class Worker:
    """One worker process and the pipe to it.

    Parameters
    ----------
    group : type
        Class of the daemons' group, importable by name.
    keyvalue_address : str
        ``host:port`` of the key-value service.
    specs : list of groups.Spec
        Its daemons.
    """

    def __init__(self, group, keyvalue_address, specs):
        self._pipe, theirs = _START.Pipe()
        self._process = _START.Process(
            target=_main,
            args=(theirs, group, keyvalue_address, specs),
            daemon=True,
        )
        self._process.start()
        theirs.close()

    async def call(self, method, *arguments):
        """Return the result of the group's `method`."""
        return await asyncio.to_thread(self._call, Order(method, arguments))

    async def stop(self):
        """Stop the group and the process."""
        await self.call("stop")
        self._pipe.send(None)
        await asyncio.to_thread(self._process.join, _STOP_S)
        if self._process.is_alive():
            self._process.terminate()

    def _call(self, order):
        self._pipe.send(order)
        if not self._pipe.poll(_ANSWER_S):
            raise RuntimeError(f"no answer to {order} in {_ANSWER_S} s")
        answer = self._pipe.recv()
        if isinstance(answer, Failure):
            raise RuntimeError(answer.message)
        return answer


def _main(pipe, group, keyvalue_address, specs):
    asyncio.run(_serve(pipe, group(keyvalue_address, specs)))


async def _serve(pipe, group):
    while True:
        order = await asyncio.to_thread(pipe.recv)
        if order is None:
            return
        pipe.send(await _obey(group, order))


async def _obey(group, order):
    try:
        result = getattr(group, order.method)(*order.arguments)
        return await result if asyncio.iscoroutine(result) else result
    except Exception as error:
        return Failure(repr(error))
