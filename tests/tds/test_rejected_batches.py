"""Tests of what proves that nothing of a batch ran when an engine rejects one of its statements."""

import pytest
from bench_free import Client, sqlstate, statement
from standins.tds_engine import COLUMNS, TdsEngine, result, row

from tds.helpers import Dispatcher, RawClient
from wickvane.net.tds import errors, tokens
from wickvane.net.tds.batch_text import is_single_statement
from wickvane.net.tds.token_encoding import (
    encode_done,
    encode_envchange,
    encode_message,
    encode_return_status,
)

ONE_STATEMENT = "INSERT INTO sales_3.sums SELECT day, sum(n) FROM sales_3.t GROUP BY day"
TWO_STATEMENTS = f"INSERT INTO sales_3.t SELECT * FROM staging.lines ; {ONE_STATEMENT}"
FAILED_END = encode_done(tokens.DONE_ERROR)
RAN = encode_done(tokens.DONE_MORE | tokens.DONE_COUNT, 1)
RESET_ACK = encode_envchange(tokens.ENV_RESET_ACK, b"\0", b"\0")


def rejection(number=8645):
    return encode_message(tokens.ERROR, number, 1, 17, "not enough memory")


# By name: the text of a batch, and the answer of the first engine.
MAYBE_RAN = {
    "after a statement": (TWO_STATEMENTS, RAN + rejection() + FAILED_END),
    "before a statement that ran": (
        TWO_STATEMENTS,
        rejection() + encode_done(tokens.DONE_MORE | tokens.DONE_ERROR) + encode_done(tokens.DONE_COUNT, 3),
    ),
    "after a silent statement": (TWO_STATEMENTS, rejection() + FAILED_END),
    "in a procedure": ("EXEC dbo.load_sums", rejection() + FAILED_END),
    "in a batch without separators": (f"DELETE FROM sales_3.t {ONE_STATEMENT}", rejection() + FAILED_END),
    "after rows": (ONE_STATEMENT, COLUMNS + row(1, "a") + rejection() + FAILED_END),
    "after a message": (
        ONE_STATEMENT,
        encode_message(tokens.INFO, 0, 1, 0, "loaded") + rejection() + FAILED_END,
    ),
    "after a return status": (ONE_STATEMENT, encode_return_status() + rejection() + FAILED_END),
    "after another error": (
        ONE_STATEMENT,
        rejection() + encode_message(tokens.ERROR, 1205, 1, 13, "deadlock") + FAILED_END,
    ),
    "with work done": (
        ONE_STATEMENT,
        rejection() + encode_message(tokens.INFO, errors.LOAD_REPORT, 1, 0, "work=3.5 memory=9") + FAILED_END,
    ),
}
NOTHING_RAN = {
    "one statement": (ONE_STATEMENT, rejection() + FAILED_END),
    "one statement with its end": (f"{ONE_STATEMENT} ; -- all days", rejection() + FAILED_END),
    "after the reset of the session": (ONE_STATEMENT, RESET_ACK + rejection() + FAILED_END),
    "with the statement terminated": (
        ONE_STATEMENT,
        rejection()
        + encode_message(tokens.INFO, errors.STATEMENT_TERMINATED, 1, 0, "terminated")
        + FAILED_END,
    ),
    "two rejections": (ONE_STATEMENT, rejection() + rejection(8651) + FAILED_END),
}


def dispatcher_before(first_answer):
    """Returns a dispatcher, and a list of the batches that it sends; the first of them gets this answer."""
    sent = []

    def answer(query):
        sent.append(query)
        return first_answer if len(sent) == 1 else result((1, "a"))

    engines = [TdsEngine(answer) for _ in range(2)]
    return Dispatcher(*engines, engine_nodes='user "w"; takes-postgres #true'), sent


def send_mutating_batch(text, first_answer):
    """Returns the numbers of the errors that a TDS client gets, and the batches that were sent."""
    dispatcher, sent = dispatcher_before(first_answer)
    client = RawClient(dispatcher.port)
    client.batch(statement(text, verb="change", n=9))
    numbers = [content.number for token, content in client.tokens() if token == tokens.ERROR]
    return numbers, sent


@pytest.mark.parametrize("case", MAYBE_RAN)
def test_a_mutating_batch_of_which_a_statement_may_have_run_is_not_sent_again(case):
    """A batch ran twice: its second statement got no memory, which counted as proof that nothing had run."""
    numbers, sent = send_mutating_batch(*MAYBE_RAN[case])
    assert len(sent) == 1 and numbers == [errors.KILLED]


@pytest.mark.parametrize("number", sorted(errors.REJECTIONS))
def test_no_rejection_of_a_later_statement_proves_that_the_earlier_ones_did_not_run(number):
    """As above, for each number with which engines reject a statement."""
    numbers, sent = send_mutating_batch(TWO_STATEMENTS, RAN + rejection(number) + FAILED_END)
    assert len(sent) == 1 and numbers == [errors.KILLED]


@pytest.mark.parametrize("case", NOTHING_RAN)
def test_a_mutating_statement_that_was_rejected_before_it_ran_goes_to_another_engine(case):
    """The proof that a single statement did not run must not be lost with the one that is none."""
    numbers, sent = send_mutating_batch(*NOTHING_RAN[case])
    assert len(sent) == 2 and not numbers


@pytest.mark.parametrize("text, expected_attempts", [(ONE_STATEMENT, 2), (TWO_STATEMENTS, 1)])
def test_rejections_prove_the_same_for_postgres_clients(text, expected_attempts):
    """PostgreSQL clients' batches ran twice before TDS engines, too."""
    dispatcher, sent = dispatcher_before(rejection() + FAILED_END)
    state = sqlstate(Client(dispatcher).ask(statement(text, verb="change", n=9)))
    assert len(sent) == expected_attempts and state == (None if expected_attempts == 2 else "58000")


SINGLE_STATEMENTS = [
    "SELECT 1",
    ONE_STATEMENT,
    "insert a(x) values (1),(2);",
    "INSERT INTO a DEFAULT VALUES",
    "INSERT INTO a WITH (TABLOCK) SELECT 1 UNION ALL SELECT 2",
    "INSERT INTO a (x) (SELECT 1)",
    "INSERT INTO sales_3.load VALUES (1)",
    "UPDATE t SET a = 1 FROM t JOIN s ON t.a = s.a",
    "DELETE FROM t WHERE x IN (SELECT 1)",
    "MERGE t USING s ON t.a = s.a WHEN MATCHED THEN UPDATE SET a = 1 WHEN NOT MATCHED THEN INSERT VALUES (1)",
    ";WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x",
    "SELECT 'a;b' /* ; insert /* nested */ */, [select], \"x;y\" FROM t -- ; update",
    "SELECT a FROM t ORDER BY a OFFSET 0 ROWS FETCH NEXT 1 ROWS ONLY",
    "SELECT * FROM a INNER MERGE JOIN b ON a.x = b.x",
]
OTHER_BATCHES = [
    "",
    TWO_STATEMENTS,
    "SELECT 1 SELECT 2",
    "SELECT 1SELECT 2",
    "SELECT 0xSELECT 2",
    "SELECT $SELECT 2",
    "INSERT INTO a VALUES (1) UPDATE b SET x = 1",
    "INSERT INTO a SELECT 1 SELECT 2",
    "INSERT INTO a (SELECT 1) SELECT 2",
    "INSERT a DEFAULT VALUES DELETE b",
    "INSERT INTO a EXEC p",
    "EXEC p",
    "p 1",
    "DECLARE @a int SELECT @a",
    "UPDATE t SET a = 1 SET NOCOUNT ON",
    "WITH x AS (SELECT 1) SELECT 1 UPDATE t SET a = 1",
    "MERGE t USING s ON 1 = 1 WHEN MATCHED THEN DELETE; DELETE b",
    "SELECT 'a",
    "SELECT (1",
    "SELECT 1)",
    "SELECT 1 /* a",
    "SELECT 1 -- x\rINSERT a VALUES (1)",
    "IF 1 = 1 INSERT a VALUES (1)",
    "BEGIN TRAN INSERT a VALUES (1)",
]


@pytest.mark.parametrize("text", SINGLE_STATEMENTS)
def test_a_single_statement_is_recognised(text):
    assert is_single_statement(text)


@pytest.mark.parametrize("text", OTHER_BATCHES)
def test_a_batch_that_may_have_several_statements_is_never_taken_for_one(text):
    """Statements without a separator, or hidden in a procedure, would be run twice."""
    assert not is_single_statement(text)
