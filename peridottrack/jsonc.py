"""JSON with comments, and schema validation that lists all faults at once."""

from __future__ import annotations

from typing import Any, TypeVar

import json5
from pydantic import BaseModel, ValidationError

from peridottrack.exceptions import InvalidInput

_MESSAGE_BY_TYPE = {"extra_forbidden": "unknown key", "missing": "is required"}

Model = TypeVar("Model", bound=BaseModel)


def parse(text: str, origin: str) -> Any:
    """Parse JSON with comments.

    Raises
    ------
    InvalidInput
        With file, line and column of the first fault.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        # The message of the parser starts with its own name for the input and the position.
        message = str(error).replace("<string>", origin, 1)
        raise InvalidInput([message]) from None
    except RecursionError:
        raise InvalidInput([f"{origin}: objects and lists are nested too deeply"]) from None


def check(model: type[Model], data: Any, origin: str) -> Model:
    """Validate parsed data against a model.

    Raises
    ------
    InvalidInput
        With one line for each fault: path of the key, what is wrong, what is allowed.
    """
    try:
        return model.model_validate(data)
    except ValidationError as error:
        faults = [_fault_line(origin, fault) for fault in error.errors()]
        raise InvalidInput(faults) from None


def _fault_line(origin: str, fault: Any) -> str:
    path = ".".join(str(part) for part in fault["loc"]) or "(top)"
    message = _MESSAGE_BY_TYPE.get(fault["type"], fault["msg"].removeprefix("Value error, "))
    if fault["type"] == "missing":
        return f"{origin}: {path}: {message}"
    return f"{origin}: {path}: {message} (got {_shorten(fault.get('input'))})"


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
