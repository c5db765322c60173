"""Files attached to a request for generated text."""

from __future__ import annotations

import attrs


@attrs.frozen
class Attachment:
    """A file that the model processes along with the prompt.

    Attributes
    ----------
    kind : str
        Kind of input for the model, set by the caller, such as ``photo``.
    media_type : str
        Media type (RFC 6838) of the file.
    reference : str
        Where the engine loads the file from; empty when ``data`` holds it.
    data : str
        The file in base64 (RFC 4648); empty when ``reference`` is set.
    """

    kind: str
    media_type: str
    reference: str = ''
    data: str = ''
