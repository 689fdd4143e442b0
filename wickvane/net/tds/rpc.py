"""Reads RPC requests (MS-TDS 2.2.6.6) and determines the statement that each one runs. No I/O.

A call of sp_executesql or of a prepared-statement procedure is replaced by its statement, with parameters as
literals. A query is thus one text for engines of either protocol, and its fields, table group and shape are
read in one place.
"""

import re
import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from wickvane.errors import ProtocolError
from wickvane.net.tds.conversion import Value, to_literal, to_python
from wickvane.net.tds.cursor import Cursor, IncompleteDataError
from wickvane.net.tds.encoding import INT_INFO, encode_int
from wickvane.net.tds.sql_batch import skip_all_headers
from wickvane.net.tds.token_encoding import encode_return_value
from wickvane.net.tds.type_info import TypeInfo, read_type_info
from wickvane.net.tds.values import read_value

PROCEDURE_ID_FOLLOWS = 0xFFFF  # in place of the length of a procedure's name: a ProcID follows
MAX_NAME_CHARACTERS = 1046
BATCH_FLAGS = (0x80, 0xFE, 0xFF)  # separators between the calls of one request
MAX_PARAMETERS = 2100
MAX_PREPARED_STATEMENTS = 64  # per client session; the oldest one is discarded
# Status flags of a parameter
BY_REFERENCE = 0x01
DEFAULT_VALUE = 0x02

# Matches strings, quoted names and comments, in which an @name is not a parameter, and otherwise names.
NAMES_AND_OPAQUE_TEXT = re.compile(
    r"'(?:[^']|'')*(?:'|\Z)|\"(?:[^\"]|\"\")*(?:\"|\Z)|\[(?:[^\]]|\]\])*(?:\]|\Z)|--[^\n]*"
    r"|/\*.*?(?:\*/|\Z)|(?P<name>@@?[\w#$]+)",
    re.S,
)
DECLARED_NAME = re.compile(r"\s*(@[\w#$]+)\s+[^@]*?(?=,\s*@|\Z)", re.S)


class ProcedureId(IntEnum):
    """The supported special procedures by ProcID; PROCEDURE_IDS derives their names from the members."""

    EXECUTESQL = 10
    PREPARE = 11
    EXECUTE = 12
    PREPEXEC = 13
    UNPREPARE = 15


PROCEDURE_IDS = {f"sp_{procedure.name.lower()}": procedure for procedure in ProcedureId}


class RpcParameter(NamedTuple):
    """A parameter of an RPC call; flags: its status flags."""

    name: str
    flags: int
    info: TypeInfo
    value: Value


class RpcRequest(NamedTuple):
    """One RPC call; procedure_id: 0 for a procedure that is identified only by name."""

    procedure_id: int
    name: str
    parameters: list[RpcParameter]


class PreparedStatement(NamedTuple):
    """The text of a statement and the declarations of its parameters."""

    text: str
    declarations: str

    def size(self) -> int:
        """Returns the octets of the texts in memory."""
        return sys.getsizeof(self.text) + sys.getsizeof(self.declarations)


class StatementToRun(NamedTuple):
    """The result of an RPC call.

    text: the statement to run, None if there is none; tokens: RETURNVALUE tokens for the answer."""

    text: str | None
    tokens: bytes = b""


class PreparedStatements:
    """A client session's prepared statements by handle, at most MAX_PREPARED_STATEMENTS.

    size: octets of all their texts."""

    def __init__(self) -> None:
        self.by_handle: dict[int, PreparedStatement] = {}
        self.size = 0
        self._last_handle = 0

    def add(self, text: str, declarations: str) -> int:
        """Stores a statement and returns its handle; discards the oldest statement if there are too many."""
        self._last_handle += 1
        if len(self.by_handle) >= MAX_PREPARED_STATEMENTS:
            self.remove(next(iter(self.by_handle)))
        statement = PreparedStatement(text, declarations)
        self.by_handle[self._last_handle] = statement
        self.size += statement.size()
        return self._last_handle

    def remove(self, handle: Value) -> None:
        """Discards a statement, if there is one with this handle."""
        statement = self.by_handle.pop(handle, None)
        if statement is not None:
            self.size -= statement.size()

    def get(self, handle: Value) -> PreparedStatement:
        """Returns the statement of a handle; raises ProtocolError if there is none."""
        if handle not in self.by_handle:
            raise ProtocolError("this handle is not prepared, or was too long ago")
        return self.by_handle[handle]


def read_rpc_request(body: bytes) -> RpcRequest:
    """Reads an RPC request of one call; raises ProtocolError if it is invalid or has more than one."""
    cursor = Cursor(body, skip_all_headers(body))
    try:
        procedure_id, name = _read_procedure(cursor)
        cursor.ushort()  # option flags
        parameters: list[RpcParameter] = []
        while cursor.position < cursor.end:
            if cursor.data[cursor.position] in BATCH_FLAGS:
                raise ProtocolError("more than one call in a request is not taken")
            parameters.append(_read_parameter(cursor))
            if len(parameters) > MAX_PARAMETERS:
                raise ProtocolError("a call has too many parameters")
    except IncompleteDataError:
        raise ProtocolError("a call ends inside itself") from None
    return RpcRequest(procedure_id, name, parameters)


def _read_procedure(cursor: Cursor) -> tuple[int, str]:
    characters = cursor.ushort()
    if characters == PROCEDURE_ID_FOLLOWS:
        return cursor.ushort(), ""
    if characters > MAX_NAME_CHARACTERS:
        raise ProtocolError("a procedure's name is too long")
    name = cursor.ucs2(characters)
    unqualified_name = name.lower().rpartition(".")[2]
    return PROCEDURE_IDS.get(unqualified_name, 0), name


def _read_parameter(cursor: Cursor) -> RpcParameter:
    name = cursor.b_varchar()
    flags = cursor.byte()
    info = read_type_info(cursor)
    return RpcParameter(name, flags, info, to_python(info, read_value(cursor, info)))


def statement_to_run(request: RpcRequest, prepared: PreparedStatements) -> StatementToRun:
    """Returns the statement that a call runs; raises ProtocolError if the call is invalid or unsupported."""
    match request.procedure_id:
        case ProcedureId.EXECUTESQL:
            return _execute_sql(request)
        case ProcedureId.PREPARE | ProcedureId.PREPEXEC:
            return _prepare(request, prepared)
        case ProcedureId.EXECUTE:
            statement = prepared.get(_handle(request))
            return StatementToRun(_with_literals(statement, request.parameters[1:]))
        case ProcedureId.UNPREPARE:
            prepared.remove(_handle(request))
            return StatementToRun(None)
        case 0 if request.name:
            return StatementToRun(_exec_statement(request))
    raise ProtocolError(f"the procedure {request.procedure_id} is not known here")


def _execute_sql(request: RpcRequest) -> StatementToRun:
    declarations = _text_parameter(request, 1) if len(request.parameters) > 1 else ""
    statement = PreparedStatement(_text_parameter(request, 0), declarations)
    return StatementToRun(_with_literals(statement, request.parameters[2:]))


def _prepare(request: RpcRequest, prepared: PreparedStatements) -> StatementToRun:
    declarations = request.parameters[1].value if len(request.parameters) > 1 else ""
    statement = PreparedStatement(_text_parameter(request, 2), declarations or "")
    handle = prepared.add(*statement)
    answer = encode_return_value(0, "", INT_INFO, encode_int(handle))
    if request.procedure_id == ProcedureId.PREPARE:
        return StatementToRun(None, answer)
    return StatementToRun(_with_literals(statement, request.parameters[3:]), answer)


def _exec_statement(request: RpcRequest) -> str:
    """Returns an EXEC statement with literals for a call of a procedure by name."""
    if any(parameter.flags & BY_REFERENCE for parameter in request.parameters):
        raise ProtocolError("parameters that are given back are not taken")
    arguments = ", ".join(
        (f"{name} = " if name else "") + to_literal(value, info)
        for name, _, info, value in request.parameters
    )
    return f"EXEC {request.name} {arguments}".rstrip()


def _handle(request: RpcRequest) -> Value:
    return request.parameters[0].value if request.parameters else None


def _text_parameter(request: RpcRequest, number: int) -> str:
    if number >= len(request.parameters) or not isinstance(request.parameters[number].value, str):
        raise ProtocolError("a call lacks its statement")
    return request.parameters[number].value


def _with_literals(statement: PreparedStatement, parameters: Sequence[RpcParameter]) -> str:
    """Returns the statement's text with its parameters replaced by literals.

    Raises ProtocolError if a parameter has no value, is an output parameter or uses its default."""
    declared = [name.lower() for name in DECLARED_NAME.findall(statement.declarations)]
    literals: dict[str, str] = {}
    for position, (name, flags, info, value) in enumerate(parameters):
        if flags & (BY_REFERENCE | DEFAULT_VALUE):
            raise ProtocolError("parameters that are given back, or have a default, are not taken")
        declared_name = declared[position] if position < len(declared) else ""
        literals[name.lower() or declared_name] = to_literal(value, info)

    def replace(found: re.Match[str]) -> str:
        name = (found["name"] or "").lower()
        if not name:
            return found[0]
        if not name.startswith("@@") and name in literals:
            return literals[name]
        if name in declared:
            raise ProtocolError(f"the parameter {found['name']} has no value")
        return found[0]

    return NAMES_AND_OPAQUE_TEXT.sub(replace, statement.text)
