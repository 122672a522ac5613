"""Control links over real sockets on the loopback."""

import asyncio
import contextlib
import typing

import pytest

from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

WAIT_S = 10.0


class Ask(typing.NamedTuple):
    text: str


class Told(typing.NamedTuple):
    text: str


@contextlib.asynccontextmanager
async def daemons(*vm_ids, **options):
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(daemon(vm_id, **options))
            for vm_id in vm_ids
        ]


@contextlib.asynccontextmanager
async def daemon(vm_id, port=0, **options):
    door = listener.Listener("127.0.0.1", port)
    peers = service.Peers(vm_id, door, **options)
    peers.declare([Ask, Told])
    await door.start(None)
    await peers.start(None)
    try:
        yield peers, door
    finally:
        await peers.stop()
        await door.stop()


async def shout(vm_id, message):
    return Told(f"{vm_id}:{message.text.upper()}")


def test_request_is_answered_and_link_serves_both_ways():
    async def main():
        async with daemons("a", "b") as ((a, _), (b, b_door)):
            a.on(Ask, shout)
            b.on(Ask, shout)
            a.learn("b", b_door.address)
            assert await a.request("b", Ask("x"), WAIT_S) == Told("a:X")
            assert b.linked == {"a"}
            assert await b.request("a", Ask("y"), WAIT_S) == Told("b:Y")
            assert a.linked == {"b"}

    asyncio.run(main())


def test_answers_out_of_order_reach_their_own_requests():
    async def main():
        async with daemons("a", "b") as ((a, _), (b, b_door)):
            gate = asyncio.Event()

            async def slow_first(vm_id, message):
                if message.text == "first":
                    await gate.wait()
                else:
                    gate.set()
                return Told(message.text)

            b.on(Ask, slow_first)
            a.learn("b", b_door.address)
            answers = await asyncio.gather(
                a.request("b", Ask("first"), WAIT_S),
                a.request("b", Ask("second"), WAIT_S),
            )
            assert answers == [Told("first"), Told("second")]

    asyncio.run(main())


def test_unknown_and_closed_address_are_not_run():
    async def main():
        async with daemons("a") as ((a, _),):
            with pytest.raises(exceptions.Refused) as unknown:
                await a.request("b", Ask("x"))
            a.learn("b", "127.0.0.1:1")
            with pytest.raises(exceptions.Refused) as closed:
                await a.send("b", Ask("x"))
            for raised in (unknown.value, closed.value):
                assert raised.reason is reasons.Refusal.CONNECT_FAILED
                assert raised.verdict is verdicts.Verdict.NOT_RUN

    asyncio.run(main())


def test_message_for_a_replaced_vm_is_not_given_to_its_successor():
    async def main():
        async with daemons("a", "new") as ((a, _), (new, door)):
            seen = []

            async def record(vm_id, message):
                seen.append(message)

            new.on(Ask, record)
            a.learn("old", door.address)
            with pytest.raises(exceptions.Refused):
                await a.request("old", Ask("x"))
            assert seen == []

    asyncio.run(main())


def test_link_lost_before_the_answer_may_have_run():
    async def main():
        async with daemons("a", "b") as ((a, _), (b, door)):

            async def hang_up(vm_id, message):
                b.drop(vm_id)
                await asyncio.Event().wait()

            b.on(Ask, hang_up)
            a.learn("b", door.address)
            with pytest.raises(exceptions.LinkLost) as raised:
                await a.request("b", Ask("x"), WAIT_S)
            assert raised.value.verdict is verdicts.Verdict.MAY_HAVE_RUN

    asyncio.run(main())


def test_handler_errors_keep_their_verdict_and_reason():
    async def main():
        async with daemons("a", "b") as ((a, _), (b, door)):

            async def refuse(vm_id, message):
                raise exceptions.Fenced("old number")

            b.on(Ask, refuse)
            a.learn("b", door.address)
            with pytest.raises(exceptions.AnvilwellError) as fenced:
                await a.request("b", Ask("x"), WAIT_S)
            assert fenced.value.reason is reasons.Refusal.FENCED
            assert fenced.value.status == exceptions.Fenced.status
            with pytest.raises(exceptions.AnvilwellError) as unserved:
                await a.request("b", Told("x"), WAIT_S)
            assert unserved.value.reason is reasons.Refusal.BAD_REQUEST

    asyncio.run(main())


def test_links_are_bounded_and_the_idlest_goes():
    async def main():
        names = ("a", "b", "c", "d")
        async with daemons(*names, max_links=2) as ((a, _), *others):
            for peers, door in others:
                peers.on(Ask, shout)
                a.learn(peers.vm_id, door.address)
                await a.request(peers.vm_id, Ask("x"), WAIT_S)
            assert a.linked == {"c", "d"}

    asyncio.run(main())


def test_request_at_address_finds_out_who_is_there():
    async def main():
        async with daemons("a", "b") as ((a, _), (b, door)):
            b.on(Ask, shout)
            told = await a.request_at(door.address, Ask("x"), WAIT_S)
            assert told == Told("a:X")
            assert a.linked == {"b"}

    asyncio.run(main())


def test_links_dialled_from_both_sides_at_once_both_serve():
    async def main():
        async with daemons("a", "b") as ((a, a_door), (b, b_door)):
            a.on(Ask, shout)
            b.on(Ask, shout)
            a.learn("b", b_door.address)
            b.learn("a", a_door.address)
            answers = await asyncio.gather(
                a.request("b", Ask("x"), WAIT_S),
                b.request("a", Ask("y"), WAIT_S),
            )
            assert answers == [Told("a:X"), Told("b:Y")]

    asyncio.run(main())
