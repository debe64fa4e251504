"""Adapter through which many balancers run in the simulator.

It reads one batch of events per line from standard input. For each batch it writes one line with the actions
of the balancers to standard output. Each line is a JSON object. The adapter only converts between JSON and
the types of `interface.py`; the balancers make all decisions.
"""

from __future__ import annotations

import sys
from typing import Any

import orjson

from honeywharf import codec, interface as api
from honeywharf.balancer import Balancer


class SimulatorAdapter:
    """Holds the balancers of one process and passes events to them.

    The balancers share nothing but the endpoint lists: the simulator sends a list once, in a `Ledger` event,
    and `Membership` events of several balancers may refer to it by its page number.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, tuple[api.Endpoint, ...]] = {}
        self.round = 0

    def handle_batch(self, message: Any) -> dict[str, Any]:
        """Pass the events of a batch to their balancers and return the reply with the resulting actions."""
        if not isinstance(message, dict):
            raise codec.DecodeError("a batch must be an object")
        self.round = codec.integer_field(message, "round")
        now_ms, events = codec.number_field(message, "tMs"), message.get("arrivals")
        if not isinstance(events, list):
            raise codec.DecodeError("arrivals must be an array")
        output: list[dict[str, Any]] = []
        for event in events:
            if not isinstance(event, dict) or len(event) != 1:
                raise codec.DecodeError("an event must be an object with one key, its name")
            name, fields = next(iter(event.items()))
            if not isinstance(fields, dict):
                raise codec.DecodeError(f"{name}: the fields must be an object")
            try:
                self._handle_event(now_ms, name, fields, output)
            except codec.DecodeError as error:
                raise codec.DecodeError(f"{name}: {error}") from None
        return {"round": self.round, "output": output}

    def _handle_event(
        self, now_ms: float, name: str, fields: dict[str, Any], output: list[dict[str, Any]],
    ) -> None:
        if name == "Ledger":
            self.endpoint_lists[codec.integer_field(fields, "page")] = codec.decode_ledger(fields)
            return
        balancer_id = codec.integer_field(fields, "who")
        decode = codec.EVENT_DECODERS.get(name)
        if decode is not None:
            self._dispatch(now_ms, balancer_id, decode(fields), output)
        elif name == "Membership":
            self._dispatch(now_ms, balancer_id, self._decode_membership(fields), output)
        elif name == "Born":
            self._start_balancer(now_ms, balancer_id, fields, output)
        elif name == "Exit":
            self.balancers.pop(balancer_id, None)
        else:
            raise codec.DecodeError("unknown event")

    def _start_balancer(
        self, now_ms: float, balancer_id: int, fields: dict[str, Any], output: list[dict[str, Any]],
    ) -> None:
        seed = codec.integer_field(fields, "prng")
        try:
            self.balancers[balancer_id] = Balancer(codec.decode_born_settings(fields), seed)
        except ValueError as error:
            raise codec.DecodeError(str(error)) from None
        self._dispatch(now_ms, balancer_id, api.Started(), output)

    def _decode_membership(self, fields: dict[str, Any]) -> api.EndpointsListed:
        kind = codec.decode_list_kind(fields)
        if kind is api.ListKind.FAILED:
            return api.EndpointsListed(kind)
        page = codec.integer_field(fields, "page")
        if page not in self.endpoint_lists:
            raise codec.DecodeError(f"page {page} is not defined by an earlier Ledger event")
        return api.EndpointsListed(kind, self.endpoint_lists[page], codec.integer_field(fields, "serial", 0))

    def _dispatch(
        self, now_ms: float, balancer_id: int, event: api.Event, output: list[dict[str, Any]],
    ) -> None:
        balancer = self.balancers.get(balancer_id)
        if balancer is None:
            return
        try:
            actions = balancer.handle(now_ms, event)
        except Exception as error:
            # The simulator requires that every exception in a decision is reported, never swallowed.
            output.append({"Panic": {"who": balancer_id, "words": f"{type(error).__name__}: {error}"}})
            return
        for action in actions:
            name, encode = codec.ACTION_ENCODERS[type(action)]
            fields = encode(action)
            fields["who"] = balancer_id
            output.append({name: fields})


def main() -> int:
    """Handle batches until the input ends. Return the exit status: 1 on a malformed line, otherwise 0."""
    adapter = SimulatorAdapter()
    for line in sys.stdin.buffer:
        try:
            reply = adapter.handle_batch(orjson.loads(line))
        except orjson.JSONDecodeError as error:
            print(f"after round {adapter.round}: malformed JSON: {error}", file=sys.stderr)
            return 1
        except codec.DecodeError as error:
            print(f"round {adapter.round}: {error}", file=sys.stderr)
            return 1
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
