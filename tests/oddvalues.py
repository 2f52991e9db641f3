"""Values that another writer may leave in a row, as mutations of a valid one."""

import json

from hypothesis import strategies

TEXT = 100_000
DEEP = 100_000
DIGITS = 5000

ODD_JSON = {
    "deep list": "[" * DEEP + "]" * DEEP,
    "deep object": '{"a":' * DEEP + "1" + "}" * DEEP,
    "nested 150 deep": "[" * 150 + "]" * 150,
    "4,200 digits": "1" * 4200,
    "5,000 digits": "1" * DIGITS,
    "4,200 digits negative": "-" + "1" * 4200,
    "more than 64 bits": str(2**64),
    "negative": "-1",
    "1e300": "1e300",
    "1e308": "1e308",
    "infinite": "1e999",
    "negative infinite": "-1e999",
    "nan": "NaN",
    "fraction": "1.5",
    "true": "true",
    "null": "null",
    "list": "[]",
    "object": "{}",
    "empty text": '""',
    "lone surrogate": '"\\ud800"',
    "nul": '"a\\u0000b"',
    "line break": '"a\\r\\nX-Odd: b"',
    "long text": json.dumps("x" * TEXT),
    "long text of two bytes": json.dumps("\u00e9" * TEXT),
    "digits that are not ASCII": '"\uff17\uff10"',
    "hexadecimal text": '"0x_1f"',
    "negative text": '"-1"',
    "long hexadecimal text": json.dumps("f" * 17),
    "host name": '"a-host:80"',
    "port 0": '"127.0.0.1:0"',
    "port 65536": '"127.0.0.1:65536"',
    "negative port": '"127.0.0.1:-1"',
    "port with a sign": '"127.0.0.1:+80"',
    "port of 5,000 digits": json.dumps("127.0.0.1:" + "9" * DIGITS),
    "port behind zeros": json.dumps("127.0.0.1:" + "0" * DIGITS + "80"),
    "port behind seven digits": '"127.0.0.1:00008070000"',
    "port not ASCII": '"127.0.0.1:\uff18\uff10"',
    "text behind the host": '"127.0.0.1 x:80"',
    "long text behind the host": json.dumps("127.0.0.1 " + "\u00e9" * 100 + ":80"),
    "host of one number": '"1:80"',
}
"""JSON texts by what is odd about them."""

ODD_DOCUMENTS = {
    "empty": "",
    "not JSON": "{",
    "nul": "\x00",
    "byte order mark": "\ufeff{}",
    "text": '"text"',
    "number": "3",
    **ODD_JSON,
}
"""Whole values by what is odd about them."""

ODD_NAMES = (
    "",
    "/",
    "a/b",
    "name@123",
    "@1",
    "a\r\nb",
    "\x00",
    "\u00e9",
    "\uff17",
    "-1",
    "0x1f",
    "1_0",
    "1" * 16,
    "f" * 17,
    "f" * 180,
    "\u00e9" * 90,
)
"""Last parts of keys, which have at most 200 bytes."""

_MARK = "the-mutated-part"


def paths(value, path=()):
    """Yield the path of each part of a JSON value, itself excluded."""
    items = value.items() if isinstance(value, dict) else ()
    # The items of a list are alike.
    items = enumerate(value[:1]) if isinstance(value, list) else items
    for key, part in items:
        yield (*path, key)
        yield from paths(part, (*path, key))


def replaced(value, path, text):
    """Return the JSON text of a value in which one part is replaced by another JSON text."""
    return json.dumps(_set(value, path, _MARK)).replace(json.dumps(_MARK), text)


def without(value, path):
    """Return the JSON text of a value without one part."""
    return json.dumps(_set(value, path, None, removes=True))


def twice(value, key, text):
    """Return the JSON text of an object in which a key occurs a second time."""
    return f"{json.dumps(value)[:-1]}, {json.dumps(key)}: {text}}}"


def texts(longest=None):
    """Return the odd JSON texts, without those longer than ``longest`` if it is given."""
    return tuple(each for each in ODD_JSON.values() if longest is None or len(each) <= longest)


def each(value, longest=None):
    """Yield all mutations of one part of an object, as JSON texts, and all odd documents.

    :param longest: the longest text that takes the place of a part.
    """
    yield from ODD_DOCUMENTS.values()
    for path in paths(value):
        yield without(value, path)
        for text in texts(longest):
            yield replaced(value, path, text)
    for key in value:
        yield twice(value, key, "1e999")
    for text in ODD_JSON.values():
        yield twice(value, "a_field_of_tomorrow", text)


def mutations(value, longest=None):
    """Return a strategy of JSON texts of objects of which one or two parts are odd."""
    places = strategies.sampled_from(tuple(paths(value)))
    odd = strategies.sampled_from(texts(longest)) | strategies.text().map(json.dumps)

    def both(first, second, text, other):
        mutated = _set(value, first, _MARK)
        if second[: len(first)] != first and first[: len(second)] != second:
            mutated = _set(mutated, second, _MARK + "-too")
        whole = json.dumps(mutated).replace(json.dumps(_MARK), text)
        return whole.replace(json.dumps(_MARK + "-too"), other)

    return strategies.builds(both, places, places, odd, odd)


def _set(value, path, part, removes=False):
    if not path:
        return part
    key, *rest = path
    copy = dict(value) if isinstance(value, dict) else list(value)
    if removes and not rest:
        del copy[key]
    else:
        copy[key] = _set(copy[key], tuple(rest), part, removes)
    return copy
