"""The node `control` of the extensions document."""

import os

import pytest
from test_rehearsal import ROOT

from wickvane import parts


@pytest.mark.parametrize(
    "text,expected",
    [
        ('control { listen "10.0.0.1:80" }', "tls"),
        ("control { }", "listen"),
        ('control { listen "127.0.0.1:1"; floor past="maybe" }', "past"),
        ('control { listen "127.0.0.1:1"; tables -1 }', "0 to 5000"),
    ],
)
def test_invalid_document_raises_an_error_that_says_why(text, expected):
    assert parts.read(os.path.join(ROOT, "deploy", "control.kdl"))["control"].table_groups == 100
    with pytest.raises(parts.InvalidDocumentError, match=expected):
        parts.read_text(text)
